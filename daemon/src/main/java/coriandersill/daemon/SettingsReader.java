package coriandersill.daemon;

import coriandersill.configuration.Problem;
import coriandersill.core.AvailabilityZone;
import coriandersill.core.InstanceId;
import coriandersill.core.ServiceName;
import coriandersill.core.VersionName;
import coriandersill.documents.FieldReader;
import coriandersill.wire.WireSettings;
import java.io.File;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
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
    private static final Pattern IP_ADDRESS =
            Pattern.compile("[0-9]{1,3}(\\.[0-9]{1,3}){3}|[0-9A-Fa-f:]*:[0-9A-Fa-f:.]*");
    private static final int MAX_PORT = 65_535;
    private static final int MILLIS_PER_HOUR = 3_600_000;
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
    public static Result read(String file, byte[] text) {
        return new SettingsReader(file).read(text);
    }

    private Result read(byte[] text) {
        FieldReader root = FieldReader.parse(file, text, problems);
        Role role = root.oneOf("role", ROLES, Role.ENTRY);
        InstanceId instance = InstanceId.of(root.name("instance"));
        AvailabilityZone zone = AvailabilityZone.of(root.name("zone"));
        DaemonSettings.Address platform = address(root, "platform", 1);
        DaemonSettings.Address wire = address(root, "wire", 0);
        DaemonSettings.Address operations = address(root, "operations", 0);
        DaemonSettings.Workers workers = workers(root);
        Duration drain = Duration.ofMillis(optionalInteger(root, "drainMillis", 0, MILLIS_PER_HOUR, 30_000));
        Optional<WireSettings.Tls> tls = root.has("tls") ? Optional.of(tls(root.object("tls"))) : Optional.empty();
        DaemonSettings.RoleSettings roleSettings =
                role == Role.ENTRY ? entry(root.object("entry")) : sidecar(root.object("sidecar"));
        root.reportUnknownFields();
        if (!problems.isEmpty()) {
            return new Result(Optional.empty(), List.copyOf(problems));
        }
        return new Result(
                Optional.of(new DaemonSettings(
                        instance, zone, platform, wire, operations, workers, drain, tls, roleSettings)),
                List.of());
    }

    private DaemonSettings.EntryRole entry(FieldReader entry) {
        DaemonSettings.EntryRole role = new DaemonSettings.EntryRole(
                address(entry, "http", 0),
                (int) optionalInteger(entry, "largestBodyBytes", 1_024, 7 << 20, 4 << 20),
                Duration.ofMillis(optionalInteger(entry, "firstTokenDeadlineMillis", 1, MILLIS_PER_HOUR, 20_000)),
                (int) optionalInteger(entry, "mostAttempts", 1, 10, 4));
        entry.reportUnknownFields();
        return role;
    }

    private DaemonSettings.SidecarRole sidecar(FieldReader sidecar) {
        DaemonSettings.SidecarRole role = new DaemonSettings.SidecarRole(
                ServiceName.of(sidecar.name("service")),
                VersionName.of(sidecar.name("version")),
                address(sidecar, "upstream", 1),
                Duration.ofMillis(optionalInteger(sidecar, "upstreamTimeoutMillis", 1, MILLIS_PER_HOUR, 30_000)));
        sidecar.reportUnknownFields();
        return role;
    }

    private static DaemonSettings.Workers workers(FieldReader root) {
        if (!root.has("workers")) {
            return new DaemonSettings.Workers(4, 20_000);
        }
        FieldReader workers = root.object("workers");
        DaemonSettings.Workers read = new DaemonSettings.Workers(
                workers.intValue("threads", 1, 256), workers.intValue("queue", 1, 1_000_000));
        workers.reportUnknownFields();
        return read;
    }

    private WireSettings.Tls tls(FieldReader tls) {
        WireSettings.Tls read = new WireSettings.Tls(
                readableFile(tls, "certificateChain"), readableFile(tls, "privateKey"), readableFile(tls, "trusted"));
        tls.reportUnknownFields();
        return read;
    }

    private static File readableFile(FieldReader reader, String field) {
        File path = new File(reader.text(field));
        if (!path.canRead()) {
            reader.addProblem(field, "a readable file", "\"" + path + "\"");
        }
        return path;
    }

    private static DaemonSettings.Address address(FieldReader root, String field, int minPort) {
        FieldReader address = root.object(field);
        DaemonSettings.Address read = new DaemonSettings.Address(
                address.text("host", IP_ADDRESS, "an IP address", "127.0.0.1"),
                address.intValue("port", minPort, MAX_PORT));
        address.reportUnknownFields();
        return read;
    }

    private static long optionalInteger(FieldReader reader, String field, long min, long max, long defaultValue) {
        return reader.has(field) ? reader.longValue(field, min, max) : defaultValue;
    }
}
