package plumpost.lab.script;

import java.util.ArrayList;
import java.util.List;
import org.antlr.v4.runtime.BaseErrorListener;
import org.antlr.v4.runtime.CharStreams;
import org.antlr.v4.runtime.CommonTokenStream;
import org.antlr.v4.runtime.RecognitionException;
import org.antlr.v4.runtime.Recognizer;
import org.antlr.v4.runtime.Token;

/** A parsed text of the scenario language: steps, and cases of steps. */
public record Script(List<Step> steps, List<Case> cases) {

    /** A text that is not of the language, or names what does not exist; says where. */
    public static final class BadScript extends RuntimeException {
        private static final long serialVersionUID = 1L;

        BadScript(String where, int line, int column, String words) {
            super(where + " line " + line + " column " + column + ": " + words, null, false, false);
        }
    }

    /** What a step does. */
    public enum Verb {
        SEND,
        EXPECT,
        CLOSE,
        HOLD,
        PASS
    }

    /**
     * One step.
     *
     * @param who the peer, or null where time passes
     * @param verb what it does
     * @param words what is sent or expected, or a number
     * @param place file, line and column, for messages
     */
    public record Step(String who, Verb verb, String words, String place) {}

    /** A named case: the packet types and admin lines that it covers, the set-up that it needs, its steps. */
    public record Case(String title, List<String> covers, String on, List<Step> steps) {}

    /** Reads a text; {@code where} names it in messages. */
    public static Script parse(String where, String text) {
        BaseErrorListener strict = new BaseErrorListener() {
            @Override
            public void syntaxError(
                    Recognizer<?, ?> by, Object symbol, int line, int column, String words, RecognitionException e) {
                throw new BadScript(where, line, column + 1, words);
            }
        };
        ScriptLexer lexer = new ScriptLexer(CharStreams.fromString(text));
        lexer.removeErrorListeners();
        lexer.addErrorListener(strict);
        ScriptParser parser = new ScriptParser(new CommonTokenStream(lexer));
        parser.removeErrorListeners();
        parser.addErrorListener(strict);
        ScriptParser.ScriptContext all = parser.script();
        Script script = new Script(new ArrayList<>(), new ArrayList<>());
        all.line().forEach(l -> line(where, l, script.steps));
        all.example().forEach(e -> example(where, e, script.cases));
        return script;
    }

    private static void example(String where, ScriptParser.ExampleContext e, List<Case> cases) {
        List<Step> steps = new ArrayList<>();
        e.line().forEach(l -> line(where, l, steps));
        String title = string(e.STRING().getText());
        // The topics before "each" are covered; those after it are the values that make a case each.
        int each = e.EACH() == null ? Integer.MAX_VALUE : e.EACH().getSymbol().getTokenIndex();
        List<String> covers = new ArrayList<>();
        List<String> values = new ArrayList<>();
        for (ScriptParser.TopicContext t : e.topic()) {
            (t.getStart().getTokenIndex() < each ? covers : values)
                    .add(
                            t.NAME() != null
                                    ? t.NAME().getText()
                                    : string(t.STRING().getText()));
        }
        String on = "usual";
        String variable = null;
        for (var name : e.NAME()) {
            if (name.getSymbol().getTokenIndex() < each) {
                on = name.getText();
            } else {
                variable = name.getText();
            }
        }
        if (variable == null) {
            cases.add(new Case(title, List.copyOf(covers), on, List.copyOf(steps)));
            return;
        }
        for (String value : values) {
            String mark = "$" + variable;
            cases.add(new Case(
                    title + ": " + value,
                    covers.stream().map(c -> c.replace(mark, value)).toList(),
                    on,
                    steps.stream()
                            .map(s -> new Step(s.who, s.verb, s.words.replace(mark, value), s.place))
                            .toList()));
        }
    }

    private static void line(String where, ScriptParser.LineContext line, List<Step> into) {
        ScriptParser.StepContext step = line.step();
        if (step == null) {
            return;
        }
        Token at = step.getStart();
        String place = where + " line " + at.getLine() + " column " + (at.getCharPositionInLine() + 1);
        if (step instanceof ScriptParser.SayContext s) {
            into.add(new Step(s.NAME().getText(), Verb.SEND, s.TEXT().getText().stripTrailing(), place));
        } else if (step instanceof ScriptParser.HearContext s) {
            into.add(
                    new Step(s.NAME().getText(), Verb.EXPECT, s.TEXT().getText().stripTrailing(), place));
        } else if (step instanceof ScriptParser.HangUpContext s) {
            into.add(new Step(s.NAME().getText(), Verb.CLOSE, "", place));
        } else if (step instanceof ScriptParser.HoldContext s) {
            into.add(new Step(
                    s.NAME().getText(),
                    Verb.HOLD,
                    s.NUMBER() == null ? "" : s.NUMBER().getText(),
                    place));
        } else if (step instanceof ScriptParser.PassContext s) {
            into.add(new Step(null, Verb.PASS, s.NUMBER().getText(), place));
        } else if (step instanceof ScriptParser.AgainContext s) {
            if (!s.NUMBER().getText().matches("[0-9]{1,6}")) {
                throw new BadScript(
                        where,
                        at.getLine(),
                        at.getCharPositionInLine() + 1,
                        "repeat " + s.NUMBER().getText() + ", not a whole number up to 999999");
            }
            for (int n = Integer.parseInt(s.NUMBER().getText()); n > 0; n--) {
                s.line().forEach(l -> line(where, l, into));
            }
        }
    }

    private static String string(String quoted) {
        return quoted.substring(1, quoted.length() - 1).translateEscapes();
    }
}
