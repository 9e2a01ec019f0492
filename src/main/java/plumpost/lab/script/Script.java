package plumpost.lab.script;

import java.util.ArrayList;
import java.util.List;
import org.antlr.v4.runtime.BaseErrorListener;
import org.antlr.v4.runtime.CharStreams;
import org.antlr.v4.runtime.CommonTokenStream;
import org.antlr.v4.runtime.RecognitionException;
import org.antlr.v4.runtime.Recognizer;
import org.antlr.v4.runtime.Token;

/** A parsed script of the scenario language: steps outside of any case, and named cases. */
public record Script(List<Step> steps, List<Case> cases) {

    /** Thrown for a syntax error in a script; the message says where. */
    public static final class BadScript extends RuntimeException {
        private static final long serialVersionUID = 1L;

        BadScript(String where, int line, int column, String words) {
            super(where + " line " + line + " column " + column + ": " + words, null, false, false);
        }
    }

    /** Action of a step. */
    public enum Verb {
        SEND,
        EXPECT,
        CLOSE,
        HOLD,
        PASS
    }

    /**
     * One step of a script.
     *
     * @param peer name of the peer, or null for a step that only lets time pass
     * @param verb action of the step
     * @param text what is sent or expected, or a number as text
     * @param location file, line and column, for error messages
     */
    public record Step(String peer, Verb verb, String text, String location) {}

    /** A named case: the packet types and admin lines that it covers, the server setup that it needs, and its steps. */
    public record Case(String title, List<String> covers, String setup, List<Step> steps) {}

    /** Parses a script; {@code where} names it in error messages. */
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
        ScriptParser.ScriptContext tree = parser.script();
        Script script = new Script(new ArrayList<>(), new ArrayList<>());
        tree.line().forEach(l -> line(where, l, script.steps));
        tree.example().forEach(e -> example(where, e, script.cases));
        return script;
    }

    private static void example(String where, ScriptParser.ExampleContext context, List<Case> cases) {
        List<Step> steps = new ArrayList<>();
        context.line().forEach(l -> line(where, l, steps));
        String title = string(context.STRING().getText());
        // Topics before "each" are what the case covers; each topic after it is a value that yields a case of its own.
        int each = context.EACH() == null
                ? Integer.MAX_VALUE
                : context.EACH().getSymbol().getTokenIndex();
        List<String> covers = new ArrayList<>();
        List<String> values = new ArrayList<>();
        for (ScriptParser.TopicContext topic : context.topic()) {
            (topic.getStart().getTokenIndex() < each ? covers : values)
                    .add(
                            topic.NAME() != null
                                    ? topic.NAME().getText()
                                    : string(topic.STRING().getText()));
        }
        String setup = "usual";
        String variable = null;
        for (var name : context.NAME()) {
            if (name.getSymbol().getTokenIndex() < each) {
                setup = name.getText();
            } else {
                variable = name.getText();
            }
        }
        if (variable == null) {
            cases.add(new Case(title, List.copyOf(covers), setup, List.copyOf(steps)));
            return;
        }
        for (String value : values) {
            String placeholder = "$" + variable;
            cases.add(new Case(
                    title + ": " + value,
                    covers.stream().map(c -> c.replace(placeholder, value)).toList(),
                    setup,
                    steps.stream()
                            .map(s -> new Step(s.peer, s.verb, s.text.replace(placeholder, value), s.location))
                            .toList()));
        }
    }

    private static void line(String where, ScriptParser.LineContext line, List<Step> steps) {
        ScriptParser.StepContext step = line.step();
        if (step == null) {
            return;
        }
        Token start = step.getStart();
        String location = where + " line " + start.getLine() + " column " + (start.getCharPositionInLine() + 1);
        if (step instanceof ScriptParser.SayContext context) {
            steps.add(new Step(
                    context.NAME().getText(),
                    Verb.SEND,
                    context.TEXT().getText().stripTrailing(),
                    location));
        } else if (step instanceof ScriptParser.HearContext context) {
            steps.add(new Step(
                    context.NAME().getText(),
                    Verb.EXPECT,
                    context.TEXT().getText().stripTrailing(),
                    location));
        } else if (step instanceof ScriptParser.HangUpContext context) {
            steps.add(new Step(context.NAME().getText(), Verb.CLOSE, "", location));
        } else if (step instanceof ScriptParser.HoldContext context) {
            steps.add(new Step(
                    context.NAME().getText(),
                    Verb.HOLD,
                    context.NUMBER() == null ? "" : context.NUMBER().getText(),
                    location));
        } else if (step instanceof ScriptParser.PassContext context) {
            steps.add(new Step(null, Verb.PASS, context.NUMBER().getText(), location));
        } else if (step instanceof ScriptParser.AgainContext context) {
            if (!context.NUMBER().getText().matches("[0-9]{1,6}")) {
                throw new BadScript(
                        where,
                        start.getLine(),
                        start.getCharPositionInLine() + 1,
                        "repeat " + context.NUMBER().getText() + ", not a whole number up to 999999");
            }
            for (int n = Integer.parseInt(context.NUMBER().getText()); n > 0; n--) {
                context.line().forEach(l -> line(where, l, steps));
            }
        }
    }

    private static String string(String quoted) {
        return quoted.substring(1, quoted.length() - 1).translateEscapes();
    }
}
