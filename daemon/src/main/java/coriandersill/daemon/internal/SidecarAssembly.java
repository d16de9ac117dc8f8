package coriandersill.daemon.internal;

import coriandersill.admission.PredictiveAdmission;
import coriandersill.admission.ReplaceableAdmission;
import coriandersill.configuration.Configuration;
import coriandersill.configuration.VersionCapacity;
import coriandersill.configuration.log.ConfigurationService;
import coriandersill.core.CallFailure;
import coriandersill.core.ErrorKind;
import coriandersill.core.MonotonicClock;
import coriandersill.core.WorkspaceName;
import coriandersill.daemon.DaemonSettings;
import coriandersill.idempotency.ClaimKey;
import coriandersill.idempotency.Dispatch;
import coriandersill.idempotency.DispatchGate;
import coriandersill.idempotency.GateStamp;
import coriandersill.idempotency.IdempotencyKey;
import coriandersill.sharedlog.ListedInstance;
import coriandersill.sidecar.DispatchCheck;
import coriandersill.sidecar.PingSource;
import coriandersill.sidecar.Sidecar;
import coriandersill.sidecar.SidecarSettings;
import coriandersill.wire.Message;
import io.vertx.core.json.JsonObject;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Assembles a sidecar: admission, the dispatch gate for non-idempotent calls, and the configuration.
 *
 * <p>A sidecar does not read the log; it receives the configuration from the entries that connect to it.
 */
final class SidecarAssembly implements RoleAssembly {
    /** The age above which the dispatch gate rejects a dispatch, measured from the ping that carried its stamp. */
    private static final Duration MAX_STAMP_AGE = Duration.ofSeconds(5);

    private static final int MAX_REMEMBERED_FENCING_TOKENS = 100_000;

    private final DaemonSettings settings;
    private final DaemonSettings.SidecarRole role;
    private final ConfigurationService configuration;
    private final ReplaceableAdmission admission = ReplaceableAdmission.closed("no configuration is proven");
    private final DispatchGate gate;
    private final Sidecar sidecar;
    private final InstanceRegistration registration;
    private volatile boolean draining;
    private Optional<VersionCapacity> capacity = Optional.empty();

    SidecarAssembly(DaemonResources resources, DaemonSettings settings, DaemonSettings.SidecarRole role) {
        this.settings = settings;
        this.role = role;
        this.gate = DispatchGate.of(
                MonotonicClock.system(), resources.random(), MAX_STAMP_AGE, MAX_REMEMBERED_FENCING_TOKENS);
        this.configuration = ConfigurationService.builder(
                        settings.instance(), resources.platform().log(), resources.scheduler())
                .peersOnly()
                // Without access to the log, a newer state can come from a peer only, so it is fetched at once.
                .catchUpDelay(Duration.ZERO)
                .executor(resources.workers()::executeOrRun)
                .random(resources.random())
                .events(resources.events())
                .loops(resources.loops())
                .build();
        SidecarSettings sidecarSettings = new SidecarSettings(
                resources.wireSettings(
                        "sidecar", role.service().value(), role.version().value()),
                settings.wire().host(),
                settings.wire().port(),
                role.service(),
                role.version(),
                role.upstream().host(),
                role.upstream().port(),
                role.upstreamTimeout());
        this.sidecar = Sidecar.builder(
                        sidecarSettings, resources.vertx(), resources.wireEventLoops(), resources.workers())
                .admission(admission)
                .dispatchCheck(new SidecarDispatchCheck())
                .pingSource(new SidecarPingSource())
                .events(resources.events())
                .metrics(resources.metrics())
                .loopRegistry(resources.loops())
                // A sidecar takes no part in rollouts, so it ignores rollout messages.
                .peerListener(new PeerConfigurationExchange(
                        configuration, resources.workers(), resources.events(), data -> {}))
                .build();
        this.registration = new InstanceRegistration(
                resources.vertx(),
                resources.platform().registry(),
                this::listedInstance,
                resources.events(),
                resources.loops());
        configuration.addListener(this::configurationChanged);
    }

    /**
     * Replaces the admission if the declared capacity of the version has changed; a version that is no longer declared
     * keeps its last admission. Called by one thread at a time.
     */
    private void configurationChanged(Configuration current) {
        Optional<VersionCapacity> found = current.service(role.service())
                .map(service -> service.versions().get(role.version()));
        if (!found.equals(capacity)) {
            capacity = found;
            found.ifPresent(this::replaceAdmission);
        }
    }

    private void replaceAdmission(VersionCapacity newCapacity) {
        sidecar.applyDecisions(admission.replaceWith(PredictiveAdmission.builder(MonotonicClock.system())
                .concurrency(newCapacity.coldConcurrency(), newCapacity.maxConcurrency())
                .memoryTokens(newCapacity.memoryTokens())
                .build()));
    }

    private ListedInstance listedInstance() {
        return new ListedInstance(
                settings.instance(),
                "sidecar",
                settings.zone(),
                settings.wire().host(),
                sidecar.port(),
                draining,
                Optional.of(role.service()),
                Optional.of(role.version()));
    }

    @Override
    public CompletableFuture<Void> start() {
        return configuration.start().thenCompose(done -> sidecar.start()).thenCompose(done -> registration.start());
    }

    @Override
    public CompletableFuture<Void> stop(Duration grace) {
        draining = true;
        sidecar.drain();
        // Publishes that this instance is draining, before its calls end.
        return registration
                .renew()
                .thenCompose(done -> sidecar.stop(grace))
                .thenCompose(done -> configuration.stop(grace))
                .thenCompose(done -> registration.stop(grace));
    }

    @Override
    public String notReadyReason() {
        if (draining) {
            return "draining";
        }
        return configuration.ready() ? null : "no configuration is proven";
    }

    @Override
    public JsonObject status() {
        var load = sidecar.admission().load();
        return new JsonObject()
                .put("instance", settings.instance().value())
                .put("role", "sidecar")
                .put("zone", settings.zone().value())
                .put("service", role.service().value())
                .put("version", role.version().value())
                .put("wire_port", sidecar.port())
                .put("configuration_position", configuration.state().position())
                .put("configuration_ready", configuration.ready())
                .put("running", load.running())
                .put("waiting", load.waiting())
                .put("limit", load.limit())
                .put("cold", load.cold())
                .put("reserved_tokens", load.reservedTokens())
                .put("draining", draining);
    }

    /**
     * Rejects calls while the availability zone is out of service, and passes non-idempotent calls to the dispatch
     * gate.
     */
    private final class SidecarDispatchCheck implements DispatchCheck {
        @Override
        public Optional<CallFailure> checkOnArrival(Message.Dispatch dispatch) {
            boolean zoneOutOfService = configuration
                    .current()
                    .zone(settings.zone())
                    .filter(zone -> !zone.inService())
                    .isPresent();
            return zoneOutOfService
                    ? Optional.of(CallFailure.of(
                            ErrorKind.UNAVAILABLE, "availability zone " + settings.zone() + " is out of service"))
                    : Optional.empty();
        }

        @Override
        public Optional<CallFailure> checkBeforeSending(Message.Dispatch dispatch) {
            return dispatch.onceOnly().flatMap(onceOnly -> admitOnce(dispatch, onceOnly));
        }

        private Optional<CallFailure> admitOnce(Message.Dispatch dispatch, Message.OnceOnly onceOnly) {
            try {
                IdempotencyKey key = IdempotencyKey.parse(onceOnly.key());
                ClaimKey claim = ClaimKey.of(WorkspaceName.of(dispatch.target().workspace()), key);
                GateStamp stamp =
                        new GateStamp(onceOnly.stamp().epoch(), onceOnly.stamp().elapsedMillis());
                return gate.admit(new Dispatch(
                        claim,
                        onceOnly.fencingToken(),
                        dispatch.attempt().callId(),
                        dispatch.attempt().number(),
                        stamp));
            } catch (IllegalArgumentException malformed) {
                return Optional.of(CallFailure.of(ErrorKind.INVALID_REQUEST, malformed.getMessage()));
            }
        }
    }

    /**
     * Supplies the configuration position and the stamps of the dispatch gate, which admits a dispatch only with a
     * recent stamp of its own.
     */
    private final class SidecarPingSource implements PingSource {
        @Override
        public long configurationPosition() {
            return configuration.digest().position();
        }

        @Override
        public Optional<Message.Stamp> stamp() {
            GateStamp stamp = gate.stamp();
            return Optional.of(new Message.Stamp(stamp.epoch(), stamp.elapsedMillis()));
        }
    }
}
