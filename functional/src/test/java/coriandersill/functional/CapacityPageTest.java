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

/**
 * Guards against outdated figures in docs/CAPACITY.md: after a new measurement the page may still state earlier values
 * or lack new ones. Measured values are in docs/capacity-figures.json.
 */
final class CapacityPageTest {
    private static final Pattern FIGURE = Pattern.compile("`([a-z0-9_]+) = ([0-9.]+)`");

    @Test
    void everyFigureOnTheCapacityPageWasMeasuredAndEveryMeasuredFigureIsOnThePage() throws IOException {
        Path here = Path.of(System.getProperty("user.dir"));
        Path docs = Files.isDirectory(here.resolve("docs")) ? here.resolve("docs") : here.resolveSibling("docs");
        JsonNode figures = new ObjectMapper()
                .readTree(docs.resolve("capacity-figures.json").toFile());
        List<String> mismatches = new ArrayList<>();
        List<String> missing = new ArrayList<>();
        figures.fieldNames().forEachRemaining(missing::add);
        Matcher figure = FIGURE.matcher(Files.readString(docs.resolve("CAPACITY.md")));
        while (figure.find()) {
            missing.remove(figure.group(1));
            JsonNode measured = figures.path(figure.group(1));
            if (measured.isMissingNode() || measured.asDouble() != Double.parseDouble(figure.group(2))) {
                mismatches.add(figure.group() + ", measured " + measured);
            }
        }
        assertThat(mismatches, is(empty()));
        assertThat(missing, is(empty()));
    }
}
