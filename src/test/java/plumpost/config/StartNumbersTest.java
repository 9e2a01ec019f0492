package plumpost.config;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import plumpost.decision.Dispatcher.Settings;

/** Guards classes that need a machine model, and the own plant, against files at SIGHUP that order their lists otherwise. */
class StartNumbersTest {
    private static Json.Fields settings(String plants, String models, int locality, int classKind) {
        return Json.object(
                "settings",
                ("{\"dcs\":[" + plants + "],\"shapes\":[" + models + "],\"locality\":" + locality
                                + ",\"classes\":[{\"name\":\"a\",\"sloMs\":1.0,\"deadlineMs\":8.0,\"effect\":\"free\"}],"
                                + "\"familyInfo\":{\"classKind\":[" + classKind
                                + "]},\"rules\":{},\"ceilings\":{\"maxAttempts\":2}}")
                        .getBytes(StandardCharsets.UTF_8));
    }

    private static final StartNumbers START =
            new StartNumbers(settings("\"p\",\"q\",\"r\"", "\"small\",\"large\"", 0, -1));

    @ParameterizedTest
    @CsvSource({"0,-1,2,-1", "1,0,0,1", "2,1,1,0"})
    void aFilesOwnNumbersBecomeThoseOfTheStart(int locality, int classKind, int zone, int kind) {
        Json.Fields file = settings("\"r\",\"p\",\"q\"", "\"large\",\"small\"", locality, classKind);
        Settings renumbered = START.apply(SettingsReader.settings(file), file);
        assertThat(renumbered.zone()).isEqualTo(zone);
        assertThat(renumbered.classes().get(0).kind()).isEqualTo(kind);
        assertThat(renumbered.classes().get(0).name()).isEqualTo("a");
    }

    @Test
    void aPlantOrModelThatTheProcessDoesNotKnowIsRejectedWithItsFieldAndValue() {
        Json.Fields plant = settings("\"p\",\"x\"", "\"small\"", 1, -1);
        assertThatThrownBy(() -> START.apply(SettingsReader.settings(plant), plant))
                .isInstanceOf(Json.BadInput.class)
                .hasMessageContaining("settings.locality is 1, x");
        Json.Fields model = settings("\"p\"", "\"small\",\"tiny\"", 0, 1);
        assertThatThrownBy(() -> START.apply(SettingsReader.settings(model), model))
                .isInstanceOf(Json.BadInput.class)
                .hasMessageContaining("settings.familyInfo.classKind is 1, tiny");
    }
}
