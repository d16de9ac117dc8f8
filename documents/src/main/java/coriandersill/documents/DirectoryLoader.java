package coriandersill.documents;

import coriandersill.configuration.Document;
import coriandersill.configuration.DocumentKind;
import coriandersill.configuration.DocumentName;
import coriandersill.configuration.Problem;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * Loads the documents of a directory, {@code <folder>/<name>.json} with one folder per kind of document.
 *
 * <pre>{@code
 * Decoded<Map<DocumentName, Document>> documents = DirectoryLoader.load(Path.of("configuration"));
 * }</pre>
 *
 * <p>Files and folders whose names start with a dot are ignored; any other file that is not a document is a problem.
 */
public final class DirectoryLoader {
    private static final String SUFFIX = ".json";
    private static final long MAX_DOCUMENT_BYTES = 1 << 20;
    private static final String EXPECTED_FOLDERS = Arrays.stream(DocumentKind.values())
            .map(kind -> kind.folder() + "/")
            .collect(Collectors.joining(", ", "one of ", ""));

    private DirectoryLoader() {}

    /** Loads all documents below {@code directory}; if any is invalid, the result has the problems of all of them. */
    public static Decoded<Map<DocumentName, Document>> load(Path directory) {
        List<Problem> problems = new ArrayList<>();
        Map<DocumentName, Document> documents = new TreeMap<>();
        for (Path folder : list(directory, problems)) {
            String name = fileName(folder);
            Optional<DocumentKind> kind = DocumentKind.ofFolder(name);
            if (kind.isEmpty() || !Files.isDirectory(folder)) {
                problems.add(new Problem(
                        name, "", EXPECTED_FOLDERS, Files.isDirectory(folder) ? "another folder" : "a file"));
                continue;
            }
            for (Path file : list(folder, problems)) {
                read(kind.get(), file, documents, problems);
            }
        }
        return problems.isEmpty() ? Decoded.of(documents) : Decoded.failed(problems);
    }

    private static void read(
            DocumentKind kind, Path file, Map<DocumentName, Document> documents, List<Problem> problems) {
        String name = fileName(file);
        String location = kind.folder() + "/" + name;
        String documentBaseName = name.endsWith(SUFFIX) ? name.substring(0, name.length() - SUFFIX.length()) : "";
        if (!documentBaseName.matches("[A-Za-z0-9._:-]{1,200}") || !Files.isRegularFile(file)) {
            problems.add(new Problem(location, "", "a file <name>.json", "\"" + name + "\""));
            return;
        }
        try {
            if (Files.size(file) > MAX_DOCUMENT_BYTES) {
                problems.add(
                        new Problem(location, "", "at most " + MAX_DOCUMENT_BYTES + " bytes", Files.size(file) + ""));
                return;
            }
            DocumentName documentName = DocumentName.of(kind, documentBaseName);
            Decoded<Document> decoded = DocumentCodec.read(documentName, Files.readAllBytes(file));
            decoded.value().ifPresent(document -> documents.put(documentName, document));
            problems.addAll(decoded.problems());
        } catch (IOException e) {
            problems.add(
                    new Problem(location, "", "a readable file", e.getClass().getSimpleName()));
        }
    }

    private static List<Path> list(Path directory, List<Problem> problems) {
        try (Stream<Path> entries = Files.list(directory)) {
            return entries.filter(path -> !fileName(path).startsWith("."))
                    .sorted()
                    .toList();
        } catch (IOException e) {
            problems.add(new Problem(
                    fileName(directory),
                    "",
                    "a readable directory",
                    e.getClass().getSimpleName()));
            return List.of();
        }
    }

    private static String fileName(Path path) {
        Path name = path.getFileName();
        return name == null ? path.toString() : name.toString();
    }
}
