package plumpost.lab.soak;

/** The Gearman functions of a soak, which a rule gives the class of orders. */
enum GearmanFunction {
    /** Has a short result. */
    PICKUP("pickup", 0),
    /** Has a result that nearly fills a body. */
    BULK("bulk", 60_000);

    private final String suffix;
    private final String padding;

    GearmanFunction(String suffix, int paddingBytes) {
        this.suffix = suffix;
        this.padding = "r".repeat(paddingBytes);
    }

    String functionName() {
        return GearmanPeers.FUNCTION_PREFIX + suffix;
    }

    /** Returns the result that a worker of this function makes for a job's data. */
    String resultOf(String data) {
        return functionName() + " of " + data + padding;
    }

    /** Returns the function with a name, or null. */
    static GearmanFunction find(String name) {
        for (GearmanFunction function : values()) {
            if (function.functionName().equals(name)) {
                return function;
            }
        }
        return null;
    }
}
