import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** A client sends many commands at once; Gearman answers them in their order, as nothing else says which answer is whose. */
final class ManyCommands {
    private static final String FUNCTION = "order-van";
    private static final int COMMANDS = 300;

    public static void main(String[] arguments) {
        Lab.main(arguments[0], ManyCommands::play);
    }

    private static String play(Lab lab) throws Exception {
        List<Lab.Scheduler> fleet = lab.fleet();
        List<Worker.Run> runs = Worker.runs();
        for (int i = 0; i < 3; i++) {
            for (int j = 1; j <= 10; j++) {
                new Worker(lab, "worker-" + (i + 1) + "-" + j, FUNCTION, fleet, i, payload -> 300, runs).start();
            }
        }
        Lab.pause(4500); // the workers are warm
        Map<String, String> callerOfHandle = new HashMap<>();
        ArrayDeque<String> unanswered = new ArrayDeque<>();
        String foreign = null;
        int foreignCount = 0;
        int refused = 0;
        int ended = 0;
        try (Gearman client = new Gearman(fleet.get(0).gearman, 25_000)) {
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            int group = lab.trouble ? COMMANDS : 1;
            int sent = 0;
            while (ended + refused < COMMANDS) {
                if (unanswered.isEmpty() && sent < COMMANDS) {
                    all.reset();
                    for (int i = 0; i < group; i++, sent++) {
                        String order = "order " + sent;
                        all.write(Gearman.encode(Gearman.SUBMIT_JOB, FUNCTION, order, order));
                        unanswered.add(order);
                    }
                    client.write(all.toByteArray());
                    lab.note("client", "sends " + group + " commands SUBMIT_JOB, up to " + unanswered.peekLast());
                }
                Gearman.Packet packet = client.next();
                switch (packet.type()) {
                    case Gearman.ERROR -> {
                        lab.note("client", packet + " is the answer to " + unanswered.poll());
                        refused++;
                    }
                    case Gearman.JOB_CREATED -> {
                        String order = unanswered.poll();
                        lab.note("client", packet + " is the answer to " + order);
                        callerOfHandle.put(packet.arguments()[0], order);
                    }
                    case Gearman.WORK_COMPLETE, Gearman.WORK_FAIL -> {
                        String order = callerOfHandle.get(packet.arguments()[0]);
                        lab.note("client", packet + " is for " + order);
                        ended++;
                        if (packet.type() == Gearman.WORK_COMPLETE
                                && !packet.arguments()[1].equals("result of " + order)) {
                            foreignCount++;
                            foreign = foreign == null ? order + " got the " + packet.arguments()[1] : foreign;
                        }
                    }
                    default -> {}
                }
            }
        } catch (IOException e) {
            lab.note("client", "the connection has ended: " + e);
        }
        lab.note("judge", ended + " ended, " + refused + " answered with an error, " + foreignCount + " foreign results");
        return foreign == null ? null : foreignCount + " callers got another's result, such as: " + foreign;
    }
}
