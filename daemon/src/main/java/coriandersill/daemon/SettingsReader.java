package coriandersill.daemon;

import coriandersill.configuration.Problem;
import coriandersill.connections.ProcessLimits;
import coriandersill.core.AvailabilityZone;
import coriandersill.core.InstanceId;
import coriandersill.core.ServiceName;
import coriandersill.core.VersionName;
import coriandersill.documents.FieldReader;
import coriandersill.entry.EntrySettings;
import coriandersill.wire.WireSettings;
import java.io.File;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.regex.Pattern;

/**
 * Reads the settings of a daemon from JSON and collects all problems instead of stopping at the first.
 *
 * <pre>{@code
 * SettingsReader.Result result = SettingsReader.read("entry.json", bytes);
 * result.problems().forEach(System.err::println);
 * }</pre>
 */
public final class SettingsReader {
    /** Matches the form of an IPv4 or IPv6 address; does not check the ranges of its numbers. */
    private static final Pattern IP_ADDRESS =
            Pattern.compile("[0-9]{1,3}(\\.[0-9]{1,3}){3}|[0-9A-Fa-f:]*:[0-9A-Fa-f:.]*");

    /** The minimum port of a listener; 0 selects a free port. */
    private static final int MIN_LISTEN_PORT = 0;

    private static final int MIN_REMOTE_PORT = 1;
    private static final int MAX_PORT = 65_535;
    private static final int MILLIS_PER_HOUR = 3_600_000;
    private static final int DEFAULT_DRAIN_TIMEOUT_MILLIS = 30_000;
    private static final int MIN_BODY_LIMIT_BYTES = 1_024;

    /** Lower than {@link WireSettings#DEFAULT_MAX_FRAME_BYTES}, so that a body fits into one frame. */
    private static final int MAX_BODY_LIMIT_BYTES = 7 << 20;

    private static final int DEFAULT_BODY_LIMIT_BYTES = 4 << 20;
    private static final int MIN_HEADER_LIMIT_BYTES = 1_024;
    private static final int MAX_HEADER_LIMIT_BYTES = 1 << 20;
    private static final int DEFAULT_HEADER_LIMIT_BYTES = 16 << 10;
    private static final int DEFAULT_REQUEST_TIMEOUT_MILLIS = 10_000;
    private static final long BYTES_PER_MEBIBYTE = 1 << 20;
    private static final int MAX_MEMORY_MEBIBYTES = 1 << 20;

    /** Stands for a setting that the file does not state. */
    private static final int UNSTATED = 0;

    private static final int DEFAULT_FIRST_TOKEN_DEADLINE_MILLIS = 20_000;
    private static final int MAX_ATTEMPTS_LIMIT = 10;
    private static final int DEFAULT_MAX_ATTEMPTS = 4;
    private static final int DEFAULT_UPSTREAM_TIMEOUT_MILLIS = 30_000;
    private static final int MAX_WORKER_THREADS = 256;
    private static final int MAX_QUEUE_CAPACITY = 1_000_000;
    private static final DaemonSettings.Workers DEFAULT_WORKERS = new DaemonSettings.Workers(4, 20_000);
    private static final Map<String, Role> ROLES = Map.of("entry", Role.ENTRY, "sidecar", Role.SIDECAR);

    private final String file;
    private final List<Problem> problems = new ArrayList<>();

    private SettingsReader(String file) {
        this.file = file;
    }

    private enum Role {
        ENTRY,
        SIDECAR
    }

    /**
     * The outcome of reading: the settings, or the problems that prevented it.
     *
     * @param settings the settings; empty if there are problems
     * @param problems all problems in the order in which the fields were read
     */
    public record Result(Optional<DaemonSettings> settings, List<Problem> problems) {}

    /** Parses the content of a settings file; {@code file} is the name reported in problems. */
    public static Result read(String file, byte[] json) {
        return new SettingsReader(file).read(json);
    }

    private Result read(byte[] json) {
        FieldReader root = FieldReader.parse(file, json, problems);
        Role role = root.oneOf("role", ROLES, Role.ENTRY);
        InstanceId instance = InstanceId.of(root.name("instance"));
        AvailabilityZone zone = AvailabilityZone.of(root.name("zone"));
        DaemonSettings.Address platform = address(root, "platform", MIN_REMOTE_PORT);
        DaemonSettings.Address wire = address(root, "wire", MIN_LISTEN_PORT);
        DaemonSettings.Address operations = address(root, "operations", MIN_LISTEN_PORT);
        DaemonSettings.Workers workers = workers(root);
        Duration drainTimeout = Duration.ofMillis(
                optionalInteger(root, "drainMillis", 0, MILLIS_PER_HOUR, DEFAULT_DRAIN_TIMEOUT_MILLIS));
        Optional<WireSettings.Tls> tls = root.has("tls") ? Optional.of(tls(root.object("tls"))) : Optional.empty();
        DaemonSettings.RoleSettings roleSettings =
                role == Role.ENTRY ? entry(root.object("entry")) : sidecar(root.object("sidecar"));
        root.reportUnknownFields();
        if (!problems.isEmpty()) {
            return new Result(Optional.empty(), List.copyOf(problems));
        }
        return new Result(
                Optional.of(new DaemonSettings(
                        instance, zone, platform, wire, operations, workers, drainTimeout, tls, roleSettings)),
                List.of());
    }

    private DaemonSettings.EntryRole entry(FieldReader entry) {
        DaemonSettings.EntryRole role = new DaemonSettings.EntryRole(
                address(entry, "http", MIN_LISTEN_PORT),
                limits(entry),
                Duration.ofMillis(optionalInteger(
                        entry, "firstTokenDeadlineMillis", 1, MILLIS_PER_HOUR, DEFAULT_FIRST_TOKEN_DEADLINE_MILLIS)),
                (int) optionalInteger(entry, "mostAttempts", 1, MAX_ATTEMPTS_LIMIT, DEFAULT_MAX_ATTEMPTS));
        entry.reportUnknownFields();
        return role;
    }

    private static EntrySettings.CallerLimits limits(FieldReader entry) {
        long memoryMebibytes = optionalInteger(entry, "memoryMebibytes", 1, MAX_MEMORY_MEBIBYTES, UNSTATED);
        long fileDescriptors = optionalInteger(entry, "fileDescriptors", 1, Integer.MAX_VALUE, UNSTATED);
        return new EntrySettings.CallerLimits(
                (int) optionalInteger(
                        entry,
                        "largestBodyBytes",
                        MIN_BODY_LIMIT_BYTES,
                        MAX_BODY_LIMIT_BYTES,
                        DEFAULT_BODY_LIMIT_BYTES),
                (int) optionalInteger(
                        entry,
                        "largestHeaderBytes",
                        MIN_HEADER_LIMIT_BYTES,
                        MAX_HEADER_LIMIT_BYTES,
                        DEFAULT_HEADER_LIMIT_BYTES),
                Duration.ofMillis(optionalInteger(
                        entry, "requestTimeoutMillis", 1, MILLIS_PER_HOUR, DEFAULT_REQUEST_TIMEOUT_MILLIS)),
                ProcessLimits.of(
                        memoryMebibytes == UNSTATED
                                ? OptionalLong.empty()
                                : OptionalLong.of(memoryMebibytes * BYTES_PER_MEBIBYTE),
                        fileDescriptors == UNSTATED ? OptionalInt.empty() : OptionalInt.of((int) fileDescriptors)));
    }

    private DaemonSettings.SidecarRole sidecar(FieldReader sidecar) {
        DaemonSettings.SidecarRole role = new DaemonSettings.SidecarRole(
                ServiceName.of(sidecar.name("service")),
                VersionName.of(sidecar.name("version")),
                address(sidecar, "upstream", MIN_REMOTE_PORT),
                Duration.ofMillis(optionalInteger(
                        sidecar, "upstreamTimeoutMillis", 1, MILLIS_PER_HOUR, DEFAULT_UPSTREAM_TIMEOUT_MILLIS)));
        sidecar.reportUnknownFields();
        return role;
    }

    private static DaemonSettings.Workers workers(FieldReader root) {
        if (!root.has("workers")) {
            return DEFAULT_WORKERS;
        }
        FieldReader fields = root.object("workers");
        DaemonSettings.Workers workers = new DaemonSettings.Workers(
                fields.intValue("threads", 1, MAX_WORKER_THREADS), fields.intValue("queue", 1, MAX_QUEUE_CAPACITY));
        fields.reportUnknownFields();
        return workers;
    }

    private WireSettings.Tls tls(FieldReader fields) {
        WireSettings.Tls tls = new WireSettings.Tls(
                readableFile(fields, "certificateChain"),
                readableFile(fields, "privateKey"),
                readableFile(fields, "trusted"));
        fields.reportUnknownFields();
        return tls;
    }

    private static File readableFile(FieldReader parent, String field) {
        File path = new File(parent.text(field));
        if (!path.canRead()) {
            parent.addProblem(field, "a readable file", "\"" + path + "\"");
        }
        return path;
    }

    private static DaemonSettings.Address address(FieldReader parent, String field, int minPort) {
        FieldReader fields = parent.object(field);
        DaemonSettings.Address address = new DaemonSettings.Address(
                fields.text("host", IP_ADDRESS, "an IP address", "127.0.0.1"),
                fields.intValue("port", minPort, MAX_PORT));
        fields.reportUnknownFields();
        return address;
    }

    private static long optionalInteger(FieldReader parent, String field, long min, long max, long defaultValue) {
        return parent.has(field) ? parent.longValue(field, min, max) : defaultValue;
    }
}
