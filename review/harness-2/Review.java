import java.nio.file.Path;

/** Runs a case: {@code Review CASE ROOT FOLDER}. Exits with 11 if the rule was broken, 0 if it held, else with another code. */
final class Review {
    /** Not 1, with which the JVM ends for reasons of its own. */
    private static final int BROKEN = 11;

    private static final int NO_RESULT = 2;

    private Review() {}

    /** A case; it returns whether the rule was broken. */
    interface Case {
        boolean run(Path root, Recorder recorder, boolean trouble) throws Exception;
    }

    public static void main(String[] arguments) throws Exception {
        Case chosen = switch (arguments[0]) {
            case "frozen-rollout" -> new FrozenRolloutCase();
            case "crashing-part" -> new CrashingPartCase();
            case "restored-rollout" -> new RestoredRolloutCase();
            case "restored-quarantine" -> new RestoredQuarantineCase();
            case "truncated-stream" -> new TruncatedStreamCase();
            default -> throw new IllegalArgumentException("no case " + arguments[0]);
        };
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int exit;
        try (Recorder recorder = new Recorder(Path.of(arguments[2], "record.txt"))) {
            try {
                exit = chosen.run(Path.of(arguments[1]), recorder, trouble) ? BROKEN : 0;
            } catch (Exception | Error failed) {
                recorder.note("could not run: " + failed);
                failed.printStackTrace();
                exit = NO_RESULT;
            }
            recorder.note(exit == BROKEN ? "the rule was broken" : exit == 0 ? "the rule held" : "no result");
        }
        Runtime.getRuntime().halt(exit);
    }
}
