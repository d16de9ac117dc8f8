package coriandersill.daemon.internal;

import coriandersill.configuration.Configuration;
import coriandersill.configuration.ConfigurationListener;
import coriandersill.configuration.ConfigurationState;
import coriandersill.configuration.DocumentKind;
import coriandersill.configuration.DocumentName;
import coriandersill.configuration.HistoryEntry;
import coriandersill.configuration.RolloutDocument;
import coriandersill.configuration.ServiceDocument;
import coriandersill.configuration.ServiceKind;
import coriandersill.configuration.WorkspaceDocument;
import coriandersill.configuration.ZoneDocument;
import coriandersill.configuration.log.ConfigurationService;
import coriandersill.core.AvailabilityZone;
import coriandersill.core.InstanceId;
import coriandersill.core.MonotonicClock;
import coriandersill.core.RouteName;
import coriandersill.core.WorkspaceName;
import coriandersill.daemon.DaemonSettings;
import coriandersill.entry.CallObserver;
import coriandersill.entry.Entry;
import coriandersill.entry.EntrySettings;
import coriandersill.idempotency.log.ClaimService;
import coriandersill.quota.LocalQuota;
import coriandersill.quota.QuotaAmount;
import coriandersill.rollout.CallSample;
import coriandersill.rollout.RegressionCriteria;
import coriandersill.rollout.RolloutId;
import coriandersill.rollout.RolloutPlan;
import coriandersill.rollout.RolloutState;
import coriandersill.rollout.log.RolloutPeers;
import coriandersill.rollout.log.RolloutService;
import coriandersill.sharedlog.ListedInstance;
import coriandersill.wire.Message;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

/** Puts an entry together: configuration, claims, rollouts and quota around the front end for callers. */
final class EntryAssembly implements RoleAssembly {
    private static final long UPKEEP_MILLIS = 1_000;
    private static final Duration CLAIM_GRACE = Duration.ofSeconds(10);

    private final DaemonResources host;
    private final DaemonSettings settings;
    private final DaemonSettings.EntryRole role;
    private final ConfigurationService configuration;
    private final ClaimService claims;
    private final RolloutService rollouts;
    private final LeaseCampaigns leases;
    private final AuditTrail audit;
    private final LocalQuota quota = LocalQuota.create(MonotonicClock.system());
    private final Entry entry;
    private final InstanceRegistration registration;
    private final Set<RolloutId> declared = new HashSet<>();
    private volatile boolean leaving;
    private long upkeep = -1;

    EntryAssembly(DaemonResources host, DaemonSettings settings, DaemonSettings.EntryRole role) {
        this.host = host;
        this.settings = settings;
        this.role = role;
        this.audit = AuditTrail.create(host, settings.instance());
        this.configuration = ConfigurationService.builder(
                        settings.instance(), host.platform().log(), host.scheduler())
                .executor(host.workers()::executeOrRun)
                .random(host.random())
                .events(host.events())
                .build();
        this.claims = ClaimService.builder(
                        host.platform().log(), host.scheduler(), settings.instance(), host.incarnation())
                .executor(host.workers()::executeOrRun)
                .random(host.random())
                .events(host.events())
                .build();
        this.leases = LeaseCampaigns.create(host, settings.instance());
        this.rollouts = RolloutService.builder(
                        settings.instance(), host.incarnation(), host.platform().log(), host.scheduler())
                .executor(host.workers()::executeOrRun)
                .random(host.random())
                .events(host.events())
                .leases(leases::token)
                .peers(new WireRolloutPeers())
                .zones(this::zones)
                .listener(this::rolloutChanged)
                .build();
        this.entry = entry();
        this.registration =
                new InstanceRegistration(host.vertx(), host.platform().registry(), this::line, host.events());
        configuration.addListener(new ConfigurationApplier());
    }

    private Entry entry() {
        EntrySettings entrySettings = new EntrySettings(
                host.wire("entry", "", ""),
                role.http().host(),
                role.http().port(),
                settings.wire().host(),
                settings.wire().port(),
                new EntrySettings.CallerLimits(role.maxBodyBytes(), 16 << 10, Duration.ofSeconds(10)),
                role.firstTokenDeadline(),
                role.maxAttempts());
        PeerConfigurationExchange states =
                new PeerConfigurationExchange(configuration, host.workers(), host.events(), this::rolloutMessage);
        return Entry.builder(entrySettings, host.vertx(), host.loops(), host.workers())
                .configuration(configuration::current)
                .position(() -> configuration.digest().position())
                .instances(host.platform().instances())
                .versions((service, hash) ->
                        rollouts.versionFor(service.name(), hash).orElse(service.current()))
                .onceOnly(new LogIdempotencyClaims(
                        claims, role.firstTokenDeadline().plus(CLAIM_GRACE)))
                .quota(quota)
                .observer(this::observed)
                .random(host.random())
                .events(host.events())
                .metrics(host.metrics())
                .peerMessages(states)
                .build();
    }

    /** The holder of the lease records the change, so that it is recorded once. */
    private void rolloutChanged(RolloutState state) {
        if (leases.token(RolloutService.leaseName(state.id().service())).isPresent()) {
            audit.record("rollout", state.id().service().value(), state.phase().name() + ": " + state.evidence());
        }
    }

    private void rolloutMessage(byte[] data) {
        rollouts.accept(data);
    }

    private void observed(CallObserver.ObservedCall call) {
        rollouts.record(new CallSample(
                call.service(),
                call.version(),
                call.route(),
                call.zone(),
                call.failed(),
                call.firstTokenNanos(),
                call.betweenTokensNanos()));
    }

    private Collection<AvailabilityZone> zones() {
        return configuration.current().documents().values().stream()
                .filter(ZoneDocument.class::isInstance)
                .map(document -> ((ZoneDocument) document).zone())
                .toList();
    }

    private ListedInstance line() {
        return new ListedInstance(
                settings.instance(),
                "entry",
                settings.zone(),
                settings.wire().host(),
                entry.peerPort(),
                leaving,
                Optional.empty(),
                Optional.empty());
    }

    @Override
    public CompletableFuture<Void> start() {
        return configuration
                .start()
                .thenRun(claims::start)
                .thenCompose(done -> leases.start())
                .thenCompose(done -> rollouts.start())
                .thenCompose(done -> entry.start())
                .thenCompose(done -> registration.start())
                .thenRun(() -> upkeep = host.vertx()
                        .setPeriodic(UPKEEP_MILLIS, tick -> host.workers().executeOrRun(this::upkeep)));
    }

    @Override
    public CompletableFuture<Void> stop(Duration grace) {
        leaving = true;
        return registration
                .renew()
                .thenCompose(done -> entry.stop(grace))
                .thenCompose(done -> claims.stop(Duration.ofSeconds(2)))
                .thenCompose(done -> rollouts.stop(grace))
                .thenCompose(done -> leases.stop(grace))
                .thenCompose(done -> configuration.stop(grace))
                .thenCompose(done -> registration.stop(grace))
                .thenRun(() -> host.vertx().cancelTimer(upkeep));
    }

    @Override
    public String notReadyReason() {
        if (!configuration.ready()) {
            return "no configuration is proven";
        }
        return entry.unready();
    }

    @Override
    public JsonObject status() {
        ConfigurationState state = configuration.state();
        JsonObject status = new JsonObject()
                .put("instance", settings.instance().value())
                .put("role", "entry")
                .put("zone", settings.zone().value())
                .put("http_port", entry.port())
                .put("wire_port", entry.peerPort())
                .put("configuration_position", state.position())
                .put("configuration_ready", configuration.ready())
                .put("claims_ready", claims.ready())
                .put("remembered_keys", claims.size())
                .put("sidecars_in_service", entry.sidecarsInService())
                .put("open_calls", entry.openCalls())
                .put("draining", leaving);
        JsonArray moves = new JsonArray();
        services(configuration.current()).forEach(service -> rollouts.status(service.name())
                .ifPresent(rollout -> moves.add(RolloutReport.of(rollout, rollouts.newVersionShare(service.name())))));
        return status.put("rollouts", moves);
    }

    private static List<ServiceDocument> services(Configuration configuration) {
        return configuration.documents().values().stream()
                .filter(ServiceDocument.class::isInstance)
                .map(ServiceDocument.class::cast)
                .toList();
    }

    /** Renews what depends on who is there: shares of caps, leases of rollouts, and verdicts for sidecars and peers. */
    private void upkeep() {
        List<InstanceId> entries = entry.entries();
        quota.setLiveEntries(entries.size(), Math.max(0, entries.indexOf(settings.instance())));
        services(configuration.current()).forEach(service -> {
            boolean wanted = rollouts.isCollector(service.name())
                    && rollouts.status(service.name()).isPresent()
                    && configuration.current().rollout(service.name()).isPresent();
            leases.want(RolloutService.leaseName(service.name()), wanted);
        });
        rollouts.verdictMessage().ifPresent(data -> entry.broadcast(new Message.Verdict(data)));
    }

    /** Takes a new configuration into force in every part. */
    private final class ConfigurationApplier implements ConfigurationListener {
        @Override
        public void onConfigurationChanged(Configuration current) {
            Map<WorkspaceName, QuotaAmount> caps = new HashMap<>();
            current.documents().values().forEach(document -> {
                if (document instanceof WorkspaceDocument workspace) {
                    caps.put(
                            workspace.name(), new QuotaAmount(workspace.maxConcurrency(), workspace.tokensPerSecond()));
                }
            });
            quota.setCaps(caps);
            services(current).forEach(service -> current.rollout(service.name())
                    .ifPresent(rollout -> declare(service, rollout)));
            withdrawMissing(current);
            entry.configurationChanged();
        }

        private void declare(ServiceDocument service, RolloutDocument rollout) {
            long declaredAt = configuration
                    .state()
                    .accepted()
                    .version(
                            DocumentName.of(DocumentKind.ROLLOUT, service.name().value()));
            RolloutId id = new RolloutId(service.name(), Math.max(0, declaredAt));
            Instant since = acceptedAt(declaredAt);
            if (!declared.add(id) || !rollout.deadline().isAfter(since)) {
                return;
            }
            RegressionCriteria criteria = new RegressionCriteria(
                    rollout.regressionCriteria().errorRatio(),
                    rollout.regressionCriteria().firstTokenRatio(),
                    rollout.regressionCriteria().betweenTokensRatio());
            RolloutPlan plan = new RolloutPlan(
                    id,
                    rollout.from(),
                    rollout.to(),
                    since,
                    rollout.deadline(),
                    rollout.firstShare(),
                    rollout.probation(),
                    criteria);
            rollouts.declare(plan, routes(service));
        }

        /** When the declaration was accepted, by the log's clock; the same in every process that remembers it. */
        private Instant acceptedAt(long version) {
            return configuration.history().stream()
                    .filter(decided -> decided.position() == version)
                    .map(HistoryEntry::time)
                    .findFirst()
                    .orElseGet(Instant::now);
        }

        private void withdrawMissing(Configuration current) {
            declared.removeIf(id -> {
                boolean gone = current.rollout(id.service()).isEmpty();
                if (gone) {
                    rollouts.withdraw(id);
                }
                return gone;
            });
        }

        private Set<RouteName> routes(ServiceDocument service) {
            if (service.kind() == ServiceKind.GENERATION) {
                return Set.of(RouteName.of("chat"), RouteName.of("completions"));
            }
            Set<RouteName> routes = new HashSet<>();
            service.routes().forEach(route -> routes.add(route.name()));
            return routes;
        }
    }

    /** The other entries, reached over the wire. */
    private final class WireRolloutPeers implements RolloutPeers {
        @Override
        public Collection<InstanceId> entries() {
            return entry.entries();
        }

        @Override
        public void send(InstanceId to, byte[] message) {
            entry.sendTo(to, new Message.Evidence(message));
        }
    }
}
