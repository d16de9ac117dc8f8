package coriandersill.functional;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;

/** Checks that docs/CAPACITY.md states the measured figures. */
final class CapacityPageTest {
    private static final Pattern FIGURE = Pattern.compile("`([a-z0-9_]+) = ([0-9.]+)`");

    @Test
    void everyFigureOnTheCapacityPageWasMeasuredAndEveryMeasuredFigureIsOnThePage() throws IOException {
        Path here = Path.of(System.getProperty("user.dir"));
        Path docs = Files.isDirectory(here.resolve("docs")) ? here.resolve("docs") : here.resolveSibling("docs");
        JsonNode figures = new ObjectMapper()
                .readTree(docs.resolve("capacity-figures.json").toFile());
        List<String> wrong = new ArrayList<>();
        List<String> unused = new ArrayList<>();
        figures.fieldNames().forEachRemaining(unused::add);
        Matcher used = FIGURE.matcher(Files.readString(docs.resolve("CAPACITY.md")));
        while (used.find()) {
            unused.remove(used.group(1));
            JsonNode measured = figures.path(used.group(1));
            if (measured.isMissingNode() || measured.asDouble() != Double.parseDouble(used.group(2))) {
                wrong.add(used.group() + ", measured " + measured);
            }
        }
        assertThat(wrong, is(empty()));
        assertThat(unused, is(empty()));
    }
}
