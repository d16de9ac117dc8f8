import java.nio.file.Path;

/** Runs a case: {@code Review CASE ROOT FOLDER}. Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run. */
final class Review {
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
                exit = chosen.run(Path.of(arguments[1]), recorder, trouble) ? 1 : 0;
            } catch (Exception failed) {
                recorder.note("could not run: " + failed);
                failed.printStackTrace();
                exit = 2;
            }
            recorder.note(exit == 1 ? "the rule was broken" : exit == 0 ? "the rule held" : "no result");
        }
        Runtime.getRuntime().halt(exit);
    }
}
