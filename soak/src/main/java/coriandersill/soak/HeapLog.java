package coriandersill.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/** The log that a virtual machine keeps of its garbage collections. */
record HeapLog(Path file) {
    private static final Pattern COLLECTION = Pattern.compile("Pause .* (\\d+)M->\\d+M");
    private static final Pattern FULL_COLLECTION = Pattern.compile("Pause Full .*->(\\d+)M");

    /**
     * The largest sizes of a heap, in MB.
     *
     * @param beforeCollection before a collection
     * @param afterFullCollection after a full one
     */
    record Peak(long beforeCollection, long afterFullCollection) {
        static final Peak NONE = new Peak(0, 0);

        Peak max(Peak other) {
            return new Peak(
                    Math.max(beforeCollection, other.beforeCollection),
                    Math.max(afterFullCollection, other.afterFullCollection));
        }
    }

    /** The option with which a virtual machine keeps the log. */
    String option() {
        return "-Xlog:gc:file=" + file + "::filecount=0";
    }

    /** Returns the peak so far; 0 without a collection of the kind. */
    Peak peak() throws IOException {
        if (!Files.exists(file)) {
            return Peak.NONE;
        }
        return new Peak(max(COLLECTION), max(FULL_COLLECTION));
    }

    private long max(Pattern pattern) throws IOException {
        try (Stream<String> lines = Files.lines(file)) {
            return lines.map(pattern::matcher)
                    .filter(Matcher::find)
                    .mapToLong(found -> Long.parseLong(found.group(1)))
                    .max()
                    .orElse(0);
        }
    }
}
