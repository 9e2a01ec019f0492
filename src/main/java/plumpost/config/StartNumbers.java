package plumpost.config;

import java.util.ArrayList;
import java.util.List;
import plumpost.config.Json.BadInput;
import plumpost.config.Json.Fields;
import plumpost.decision.Dispatcher.JobClass;
import plumpost.decision.Dispatcher.Settings;

/**
 * The numbers of plants and machine models, which a process keeps from its start because its route nodes and what it has learnt of
 * them are under these numbers. A file read at SIGHUP numbers them in its own order.
 */
public final class StartNumbers {
    private final List<?> plants;
    private final List<?> models;

    /** Creates the numbers of the section {@code settings} that the process starts with. */
    public StartNumbers(Fields startSettings) {
        plants = startSettings.listOrEmpty("dcs");
        models = startSettings.listOrEmpty("shapes");
    }

    /**
     * Returns the settings of a later file with this process's numbers in place of the file's. Throws {@link BadInput} if the file
     * uses a plant or model that the process does not know, which needs a restart.
     */
    public Settings apply(Settings settings, Fields section) {
        List<?> filePlants = section.listOrEmpty("dcs");
        List<?> fileModels = section.listOrEmpty("shapes");
        if (plants.equals(filePlants) && models.equals(fileModels)) {
            return settings;
        }
        List<JobClass> classes = new ArrayList<>();
        for (JobClass each : settings.classes()) {
            int model = number(models, fileModels, each.kind(), "familyInfo.classKind");
            classes.add(new JobClass(
                    each.name(),
                    each.aimMs(),
                    each.aimStretch(),
                    each.deadlineMs(),
                    each.effect(),
                    each.scope(),
                    each.windowMs(),
                    each.importance(),
                    each.lateWorth(),
                    model,
                    each.priority()));
        }
        return settings.with(number(plants, filePlants, settings.zone(), "locality"), classes);
    }

    private static int number(List<?> startNames, List<?> fileNames, int fileNumber, String field) {
        if (fileNumber < 0 || fileNumber >= fileNames.size()) {
            return fileNumber; // none, or a number without a name
        }
        int number = startNames.indexOf(fileNames.get(fileNumber));
        if (number < 0) {
            throw new BadInput("configuration: settings." + field + " is " + fileNumber + ", "
                    + fileNames.get(fileNumber) + ", which this process does not know; it needs a restart");
        }
        return number;
    }
}
