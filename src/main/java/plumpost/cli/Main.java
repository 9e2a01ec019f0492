package plumpost.cli;

import java.io.IOException;
import plumpost.benchlink.WireHost;

/** Command line: {@code wirehost} hosts instances on standard input and output. */
public final class Main {
    private Main() { }

    /** Starts the wire host, or prints the usage and exits with 2. */
    public static void main(String[] args) throws IOException {
        if (args.length != 1 || !args[0].equals("wirehost")) {
            System.err.println("usage: java -jar plumpost.jar wirehost");
            System.exit(2);
        }
        System.exit(new WireHost(System.in, System.out, System.err).run());
    }
}
