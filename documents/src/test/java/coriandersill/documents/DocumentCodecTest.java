package coriandersill.documents;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;

import coriandersill.configuration.Document;
import coriandersill.configuration.DocumentName;
import coriandersill.configuration.Problem;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against documents that change in a round trip, and against invalid documents that are read in part or reported
 * only up to their first problem: each problem must name the document, the path, the expected and the found value.
 */
final class DocumentCodecTest {
    static final String SHA256 = "ab".repeat(32);
    static final Map<String, String> VALID = Map.of(
            "zones/shewa-a",
            "{'region':'shewa','inService':true}",
            "services/ledger",
            "{'kind':'plain','current':'v1','versions':{'v1':{'coldConcurrency':1,'maxConcurrency':4}},"
                    + "'routes':[{'name':'book','method':'POST','pathPrefix':'/book','repeatable':false}]}",
            "workspaces/north",
            "{'keys':[{'id':'k1','salt':'s','sha256':'" + SHA256 + "'}],'services':['ledger'],"
                    + "'weight':1.5,'maxConcurrency':10,'tokensPerSecond':500}",
            "rollouts/ledger",
            "{'from':'v1','to':'v2','deadline':'2026-03-01T06:00:00Z','firstShare':0.05,'probation':'PT10M',"
                    + "'badness':{'errorRatio':2,'firstTokenRatio':1.5,'betweenTokensRatio':1.5}}");

    @Test
    void everyKindOfDocumentSurvivesARoundTripThroughItsCanonicalForm() {
        VALID.forEach((name, json) -> {
            Document document = read(name, json).orThrow();
            String canonical = DocumentCodec.write(document);
            assertThat(name, read(name, canonical).orThrow(), is(document));
            assertThat(name, DocumentCodec.write(read(name, canonical).orThrow()), is(canonical));
        });
    }

    @Test
    void allProblemsOfADocumentAreReportedTogether() {
        Decoded<Document> decoded = read(
                "workspaces/criers-north",
                "{'keys':[{'id':'k 1','salt':7,'sha256':'xy','x':1}],'services':['a','a',3],"
                        + "'weight':0,'maxConcurrency':'ten','tokensPerSecond':1.5,'color':'red'}");
        String file = "workspaces/criers-north.json: ";
        String name = "1 to 200 letters, digits, '.', '_', '-' or ':'";
        assertThat(
                decoded.problems().stream().map(Problem::toString).toList(),
                contains(
                        file + "keys[0].id: expected " + name + ", found \"k 1\"",
                        file + "keys[0].salt: expected a text, found 7",
                        file + "keys[0].sha256: expected 64 digits 0-9 and a-f, found \"xy\"",
                        file + "keys[0].x: expected no such field, found 1",
                        file + "services[1]: expected names used once, found \"a\"",
                        file + "services[2]: expected " + name + ", found 3",
                        file + "weight: expected a number above 0 and at most 1000000, found 0",
                        file + "maxConcurrency: expected an integer from 1 to 100000, found \"ten\"",
                        file + "tokensPerSecond: expected an integer from 1 to 1000000000000, found 1.5",
                        file + "color: expected no such field, found \"red\""));
    }

    @Test
    void everyInvalidTextIsRejectedWithOneProblemThatDescribesIt() {
        Map<String, String> cases = Map.ofEntries(
                Map.entry("", "expected a JSON object, found nothing"),
                Map.entry("[]", "expected an object, found []"),
                Map.entry(
                        "{'region':'a','region':'b','inService':true}",
                        "expected JSON, found Duplicate field 'region'"),
                Map.entry("{'region':'a','inService':true} x", "expected JSON, found Unrecognized token 'x'"),
                Map.entry("{'region':'a'}", "inService: expected true or false, found nothing"),
                Map.entry("{'region':null,'inService':true}", "region: expected 1 to 200 letters"),
                Map.entry("[".repeat(2000), "expected JSON, found"));
        cases.forEach((json, expected) -> {
            List<Problem> problems = read("zones/z", json).problems();
            assertThat(json + " -> " + problems, problems.size(), is(1));
            assertThat(json + " -> " + problems, problems.get(0).toString().contains(expected), is(true));
        });
    }

    @Test
    void eachInvalidFieldIsReportedWithItsPath() {
        Map<String, String> cases = Map.of(
                "services/s",
                "{'kind':'odd','current':'v','versions':{'v':{'coldConcurrency':5,'maxConcurrency':4}},"
                        + "'routes':[{'name':'r','method':'post','pathPrefix':'x','repeatable':1}]}",
                "rollouts/s",
                "{'from':'a','to':'b','deadline':'noon','firstShare':1.01,'probation':'-PT1S',"
                        + "'badness':{'errorRatio':1,'firstTokenRatio':2}}");
        assertThat(
                paths(read("services/s", cases.get("services/s"))),
                contains(
                        "kind",
                        "versions.v.maxConcurrency",
                        "routes[0].method",
                        "routes[0].pathPrefix",
                        "routes[0].repeatable"));
        assertThat(
                paths(read("rollouts/s", cases.get("rollouts/s"))),
                contains("badness.errorRatio", "badness.betweenTokensRatio", "deadline", "firstShare", "probation"));
    }

    @Test
    void aDirectoryIsLoadedCompletelyOrAllItsProblemsAreReported(@TempDir Path directory) throws IOException {
        for (Map.Entry<String, String> entry : VALID.entrySet()) {
            write(directory, entry.getKey() + ".json", entry.getValue());
        }
        write(directory, ".git/config", "x");
        assertThat(DirectoryLoader.load(directory).orThrow().size(), is(4));
        write(directory, "zone/a.json", "{}");
        write(directory, "zones/b.txt", "{}");
        write(directory, "zones/c.json", "{'region':'r','inService':'yes'}");
        Files.writeString(directory.resolve("README"), "x");
        assertThat(
                DirectoryLoader.load(directory).problems().stream()
                        .map(Problem::document)
                        .toList(),
                contains("README", "zone", "zones/b.txt", "zones/c.json"));
        assertThat(DirectoryLoader.load(directory.resolve("none")).problems().size(), is(1));
    }

    static Decoded<Document> read(String name, String json) {
        return DocumentCodec.read(
                DocumentName.parse(name), json.replace('\'', '"').getBytes(StandardCharsets.UTF_8));
    }

    private static List<String> paths(Decoded<Document> decoded) {
        return decoded.problems().stream().map(Problem::path).toList();
    }

    private static void write(Path directory, String file, String json) throws IOException {
        Path path = directory.resolve(file);
        Files.createDirectories(path.getParent());
        Files.writeString(path, json.replace('\'', '"'));
    }
}
