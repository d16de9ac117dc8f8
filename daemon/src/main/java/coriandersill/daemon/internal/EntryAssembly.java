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
import coriandersill.entry.AttemptObserver;
import coriandersill.entry.Entry;
import coriandersill.entry.EntrySettings;
import coriandersill.events.EventCode;
import coriandersill.events.LoopGuard;
import coriandersill.idempotency.log.ClaimService;
import coriandersill.quarantine.PromptPart;
import coriandersill.quarantine.PromptQuarantine;
import coriandersill.quarantine.QuarantineObserver;
import coriandersill.quarantine.QuarantineVerdict;
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

/** Assembles an entry: configuration, idempotency claims, rollouts and quota around the front end for callers. */
final class EntryAssembly implements RoleAssembly {
    /** The time by which a claim outlives the first-token deadline of its call. */
    private static final Duration CLAIM_EXPIRY_MARGIN = Duration.ofSeconds(10);

    private static final Duration CLAIMS_STOP_TIMEOUT = Duration.ofSeconds(2);

    private final DaemonResources resources;
    private final DaemonSettings settings;
    private final DaemonSettings.EntryRole role;
    private final ConfigurationService configuration;
    private final ClaimService claims;
    private final RolloutService rollouts;
    private final LeaseCampaigns leases;
    private final AuditTrail audit;
    private final LocalQuota quota = LocalQuota.create(MonotonicClock.system());
    private final QuarantineMessages quarantineMessages;
    private final PromptQuarantine quarantine;
    private final Entry entry;
    private final InstanceRegistration registration;
    private final Set<RolloutId> declaredRollouts = new HashSet<>();
    private volatile boolean draining;
    private final Maintenance maintenance;

    EntryAssembly(DaemonResources resources, DaemonSettings settings, DaemonSettings.EntryRole role) {
        this.resources = resources;
        this.settings = settings;
        this.role = role;
        this.audit = AuditTrail.create(resources, settings.instance());
        this.configuration = ConfigurationService.builder(
                        settings.instance(), resources.platform().log(), resources.scheduler())
                .executor(resources.workers()::executeOrRun)
                .random(resources.random())
                .events(resources.events())
                .loops(resources.loops())
                .build();
        this.claims = ClaimService.builder(
                        resources.platform().log(), resources.scheduler(), settings.instance(), resources.incarnation())
                .executor(resources.workers()::executeOrRun)
                .random(resources.random())
                .events(resources.events())
                .loops(resources.loops())
                .build();
        this.leases = LeaseCampaigns.create(resources, settings.instance());
        this.rollouts = RolloutService.builder(
                        settings.instance(),
                        resources.incarnation(),
                        resources.platform().log(),
                        resources.scheduler())
                .executor(resources.workers()::executeOrRun)
                .random(resources.random())
                .events(resources.events())
                .leases(leases::fencingToken)
                .peers(new WireRolloutPeers())
                .zones(this::zones)
                .listener(this::rolloutChanged)
                .loops(resources.loops())
                .build();
        this.quarantineMessages = new QuarantineMessages(this::sendToEntries);
        this.quarantine = PromptQuarantine.create(
                MonotonicClock.system(), settings.instance(), quarantineMessages, new QuarantineLog());
        this.entry = createEntry();
        this.registration = new InstanceRegistration(
                resources.vertx(),
                resources.platform().registry(),
                this::listedInstance,
                resources.events(),
                resources.loops());
        this.maintenance = new Maintenance(
                resources.vertx(),
                resources.workers()::executeOrRun,
                resources.loops(),
                List.of(this::updateQuotaShare, this::updateCampaigns, this::broadcastVerdicts));
        configuration.addListener(new ConfigurationApplier());
    }

    private Entry createEntry() {
        EntrySettings entrySettings = new EntrySettings(
                resources.wireSettings("entry", "", ""),
                role.http().host(),
                role.http().port(),
                settings.wire().host(),
                settings.wire().port(),
                role.limits(),
                role.firstTokenDeadline(),
                role.maxAttempts());
        PeerConfigurationExchange peerExchange = new PeerConfigurationExchange(
                configuration, resources.workers(), resources.events(), this::acceptPeerMessage);
        return Entry.builder(entrySettings, resources.vertx(), resources.wireEventLoops(), resources.workers())
                .configuration(configuration::current)
                .configurationPosition(() -> configuration.digest().position())
                .instances(resources.platform().instanceList())
                .versionSelector((service, affinityHash) ->
                        rollouts.versionFor(service.name(), affinityHash).orElse(service.current()))
                .idempotencyClaims(new LogIdempotencyClaims(
                        claims, role.firstTokenDeadline().plus(CLAIM_EXPIRY_MARGIN)))
                .quota(quota)
                .quarantine(quarantine)
                .observer(this::recordCallSample)
                .random(resources.random())
                .events(resources.events())
                .metrics(resources.metrics())
                .loopRegistry(resources.loops())
                .peerListener(peerExchange)
                .build();
    }

    /** Only the lease holder records the change, so that it appears once in the audit trail. */
    private void rolloutChanged(RolloutState state) {
        if (leases.fencingToken(RolloutService.leaseName(state.id().service())).isPresent()) {
            audit.record("rollout", state.id().service().value(), state.phase().name() + ": " + state.reason());
        }
    }

    private void acceptPeerMessage(byte[] data) {
        if (!QuarantineMessages.apply(data, quarantine)) {
            rollouts.accept(data);
        }
    }

    private void sendToEntries(byte[] message) {
        entry.entries().stream()
                .filter(other -> !other.equals(settings.instance()))
                .forEach(other -> entry.sendTo(other, new Message.Evidence(message)));
    }

    private void recordCallSample(AttemptObserver.ObservedAttempt attempt) {
        rollouts.record(new CallSample(
                attempt.service(),
                attempt.version(),
                attempt.route(),
                attempt.zone(),
                attempt.failed(),
                attempt.firstTokenNanos(),
                attempt.betweenTokensNanos()));
    }

    private Collection<AvailabilityZone> zones() {
        return configuration.current().documents().values().stream()
                .filter(ZoneDocument.class::isInstance)
                .map(document -> ((ZoneDocument) document).zone())
                .toList();
    }

    private ListedInstance listedInstance() {
        return new ListedInstance(
                settings.instance(),
                "entry",
                settings.zone(),
                settings.wire().host(),
                entry.peerPort(),
                draining,
                Optional.empty(),
                Optional.empty());
    }

    @Override
    public CompletableFuture<Void> start() {
        return configuration
                .start()
                // Completes only after the log has responded; the start of the daemon does not wait for the log.
                .thenRun(claims::start)
                .thenCompose(done -> leases.start())
                .thenCompose(done -> rollouts.start())
                .thenCompose(done -> entry.start())
                .thenCompose(done -> registration.start())
                .thenCompose(done -> maintenance.start());
    }

    @Override
    public CompletableFuture<Void> stop(Duration grace) {
        draining = true;
        // Publishes that this instance is draining, before its calls end.
        return registration
                .renew()
                .thenCompose(done -> entry.stop(grace))
                .thenCompose(done -> claims.stop(CLAIMS_STOP_TIMEOUT))
                .thenCompose(done -> rollouts.stop(grace))
                .thenCompose(done -> leases.stop(grace))
                .thenCompose(done -> configuration.stop(grace))
                .thenCompose(done -> registration.stop(grace))
                .thenCompose(done -> maintenance.stop(grace));
    }

    @Override
    public String notReadyReason() {
        if (!configuration.ready()) {
            return "no configuration is proven";
        }
        Optional<String> stalled = resources.loops().stalledEssentialLoop();
        return stalled.isPresent() ? "no progress: " + stalled.get() : entry.notReadyReason();
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
                .put("draining", draining);
        JsonArray rolloutReports = new JsonArray();
        services(configuration.current()).forEach(service -> rollouts.status(service.name())
                .ifPresent(rollout ->
                        rolloutReports.add(RolloutReport.of(rollout, rollouts.newVersionShare(service.name())))));
        return status.put("rollouts", rolloutReports);
    }

    private static List<ServiceDocument> services(Configuration configuration) {
        return configuration.documents().values().stream()
                .filter(ServiceDocument.class::isInstance)
                .map(ServiceDocument.class::cast)
                .toList();
    }

    /** Updates this entry's share of the quota caps, which depends on the number of live entries. */
    private void updateQuotaShare(LoopGuard guard) {
        List<InstanceId> entries = entry.entries();
        quota.setLiveEntries(entries.size(), Math.max(0, entries.indexOf(settings.instance())));
    }

    /** Updates the rollout leases for which this entry campaigns, which depend on the live entries as well. */
    private void updateCampaigns(LoopGuard guard) {
        guard.forEach(services(configuration.current()), service -> {
            boolean shouldCampaign = rollouts.isCollector(service.name())
                    && rollouts.status(service.name()).isPresent()
                    && configuration.current().rollout(service.name()).isPresent();
            leases.setCampaigning(RolloutService.leaseName(service.name()), shouldCampaign);
        });
    }

    /** Broadcasts the verdicts, so that entries that start later learn them. */
    private void broadcastVerdicts(LoopGuard guard) {
        guard.forEach(quarantine.verdicts(), quarantineMessages::publish);
        rollouts.verdictMessage().ifPresent(data -> entry.broadcast(new Message.Verdict(data)));
    }

    /**
     * Applies a new configuration to the quota, the rollouts and the front end. A listener is called by one thread at a
     * time, so {@code declaredRollouts} needs no lock.
     */
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
            withdrawRemovedRollouts(current);
            entry.configurationChanged();
        }

        /**
         * Declares a rollout once, unless its deadline had already passed when its declaration was accepted. The
         * rollout is identified by the version of its document, which is the stream position of its declaration.
         */
        private void declare(ServiceDocument service, RolloutDocument rollout) {
            long declarationPosition = configuration
                    .state()
                    .accepted()
                    .version(
                            DocumentName.of(DocumentKind.ROLLOUT, service.name().value()));
            RolloutId id = new RolloutId(service.name(), Math.max(0, declarationPosition));
            Instant acceptedAt = acceptedAt(declarationPosition);
            if (!declaredRollouts.add(id) || !rollout.deadline().isAfter(acceptedAt)) {
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
                    acceptedAt,
                    rollout.deadline(),
                    rollout.firstShare(),
                    rollout.probation(),
                    criteria);
            rollouts.declare(plan, routes(service));
        }

        /**
         * Returns the time at which the log appended the declaration, or the current time if the history no longer
         * contains it. The time of the log is the same in every process.
         */
        private Instant acceptedAt(long declarationPosition) {
            return configuration.history().stream()
                    .filter(change -> change.position() == declarationPosition)
                    .map(HistoryEntry::time)
                    .findFirst()
                    .orElseGet(Instant::now);
        }

        private void withdrawRemovedRollouts(Configuration current) {
            declaredRollouts.removeIf(id -> {
                boolean removed = current.rollout(id.service()).isEmpty();
                if (removed) {
                    rollouts.withdraw(id);
                }
                return removed;
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

    /** Writes the changes of the quarantine to the event log. */
    private final class QuarantineLog implements QuarantineObserver {
        @Override
        public void quarantined(QuarantineVerdict verdict) {
            resources.events().record(EventCode.PART_QUARANTINED, verdict.evidence());
        }

        @Override
        public void released(PromptPart part, Reason reason) {
            resources.events().record(EventCode.PART_RELEASED, Map.of("part", part, "reason", reason));
        }
    }

    /** Sends rollout messages to the other entries over the wire protocol. */
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
