package coriandersill.entry.internal;

import coriandersill.configuration.Configuration;
import coriandersill.configuration.ServiceDocument;
import coriandersill.configuration.ServiceKind;
import coriandersill.configuration.WorkspaceDocument;
import coriandersill.core.CallFailure;
import coriandersill.core.CallId;
import coriandersill.core.ErrorKind;
import coriandersill.core.InstanceId;
import coriandersill.core.ServiceName;
import coriandersill.wire.Message;
import coriandersill.wire.WireConnection;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** Plans calls and keeps the open ones; what the HTTP handlers share. */
final class CallService {
    private final EntryContext entry;
    private final SidecarDirectory directory;
    private final Authenticator authenticator;
    private final CallTable calls = new CallTable();
    private volatile boolean draining;

    CallService(EntryContext entry, SidecarDirectory directory) {
        this.entry = entry;
        this.directory = directory;
        this.authenticator = new Authenticator(entry.configuration());
    }

    EntryContext entry() {
        return entry;
    }

    /** Refuses when the entry drains. */
    void checkOpen() {
        if (draining) {
            throw CallFailure.of(ErrorKind.DRAINING, "the entry drains").withRetryAfter(Duration.ofSeconds(1));
        }
    }

    /** Finds whose call it is. */
    WorkspaceDocument authenticate(String authorization) {
        return authenticator.authenticate(authorization);
    }

    /** Finds a service that the workspace may use; throws {@code NOT_FOUND} or {@code FORBIDDEN}. */
    ServiceDocument service(WorkspaceDocument workspace, String name, ServiceKind kind) {
        Configuration configuration = entry.configuration().get();
        ServiceDocument service = parse(name)
                .flatMap(configuration::service)
                .filter(found -> found.kind() == kind)
                .orElseThrow(() -> CallFailure.of(
                        ErrorKind.NOT_FOUND,
                        "service: expected a declared " + kind + " service, found \"" + name + "\""));
        if (!workspace.services().contains(service.name())) {
            throw CallFailure.of(
                    ErrorKind.FORBIDDEN, "workspace " + workspace.name() + " may not use service " + service.name());
        }
        return service;
    }

    private static Optional<ServiceName> parse(String name) {
        try {
            return Optional.of(ServiceName.of(name));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    CallId newId() {
        return CallId.random(entry.random());
    }

    long deadlineNanos() {
        return entry.clock().nanos() + entry.settings().firstTokenDeadline().toNanos();
    }

    /** Takes a call out of its workspace's share; throws {@code QUOTA_EXCEEDED}. */
    void charge(CallPlan plan) {
        entry.quota()
                .tryAcquire(plan.workspace().name(), plan.predictedTokens())
                .ifPresent(failure -> {
                    throw failure;
                });
    }

    /** Gives a call back to its workspace's share, with the tokens that it really took. */
    void settle(CallPlan plan, long tokens) {
        int taken = plan.work().generation() ? plan.promptTokens() + (int) Math.min(tokens, Integer.MAX_VALUE / 2) : 0;
        entry.quota().settle(plan.workspace().name(), plan.predictedTokens(), taken);
    }

    /** Begins a call on the present Vert.x context. */
    CallDriver open(CallPlan plan, Optional<Message.OnceOnly> onceOnly, AnswerSink sink) {
        entry.metrics().counter("calls.started").inc();
        return new CallDriver(entry, directory, calls, plan, onceOnly, sink);
    }

    /** Hands a message to the call it is about. */
    void received(WireConnection connection, Message.CallMessage message) {
        Optional<CallDriver> call = calls.find(message.call().id());
        if (call.isPresent()) {
            call.get().received(connection, message);
        } else if (!(message instanceof Message.Accepted)) {
            entry.metrics().counter("frames.dropped").inc();
        }
    }

    void connected(WireConnection connection) {
        calls.all().forEach(call -> call.reconnected(connection));
    }

    void disconnected(WireConnection connection) {
        calls.all().forEach(call -> call.disconnected(connection));
    }

    /** Whether no open call is at a sidecar. */
    boolean noneAt(InstanceId instance) {
        return calls.all().stream().noneMatch(call -> call.isAt(instance));
    }

    int openCalls() {
        return calls.size();
    }

    /** Takes no new calls; completes with true when the last has ended, or false after {@code grace}. */
    CompletableFuture<Boolean> drain(Duration grace) {
        draining = true;
        CompletableFuture<Boolean> drained = new CompletableFuture<>();
        awaitEmpty(System.nanoTime() + grace.toNanos(), drained);
        return drained;
    }

    boolean draining() {
        return draining;
    }

    private void awaitEmpty(long deadline, CompletableFuture<Boolean> drained) {
        if (calls.size() == 0) {
            drained.complete(true);
        } else if (System.nanoTime() - deadline >= 0) {
            calls.all().forEach(CallDriver::abort);
            drained.complete(false);
        } else {
            entry.vertx().setTimer(20, tick -> awaitEmpty(deadline, drained));
        }
    }
}
