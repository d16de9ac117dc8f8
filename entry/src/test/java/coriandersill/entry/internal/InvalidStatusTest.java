package coriandersill.entry.internal;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import coriandersill.configuration.Configuration;
import coriandersill.configuration.ServiceDocument;
import coriandersill.configuration.ServiceKind;
import coriandersill.configuration.WorkspaceDocument;
import coriandersill.core.AvailabilityZone;
import coriandersill.core.CallFailure;
import coriandersill.core.CallId;
import coriandersill.core.InstanceId;
import coriandersill.core.RouteName;
import coriandersill.core.ServiceName;
import coriandersill.core.VersionName;
import coriandersill.core.WorkspaceName;
import coriandersill.membership.Member;
import coriandersill.membership.MembershipSettings;
import coriandersill.membership.MembershipTable;
import coriandersill.membership.Role;
import coriandersill.quarantine.CallTraits;
import coriandersill.routing.Router;
import coriandersill.wire.Message;
import coriandersill.wire.PeerIdentity;
import coriandersill.wire.WireConnection;
import coriandersill.workers.WorkerPool;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against a sidecar of an earlier version that passes on a status which is not that of a final response. */
final class InvalidStatusTest {
    private static final AvailabilityZone ZONE = AvailabilityZone.of("shewa-a");
    private static final ServiceName SERVICE = ServiceName.of("ledger");
    private static final VersionName VERSION = VersionName.of("v1");

    private final WorkerPool workers = WorkerPool.of("test", 1, 10);
    private final TestEntry entry = TestEntry.startOn(workers);
    private final MembershipTable members = MembershipTable.of(MembershipSettings.standard(), entry.clock);
    private final SidecarDirectory directory = new SidecarDirectory(
            members,
            Router.builder(entry.clock, new Random(1)).build(),
            Configuration::empty,
            entry.clock,
            new Random(1));
    private final CallService calls = new CallService(entry.context, directory);
    private final CompletableFuture<String> delivered = new CompletableFuture<>();

    /** Answers each call with one status. */
    private final class AnsweringSidecar implements WireConnection {
        private final int status;

        private AnsweringSidecar(int status) {
            this.status = status;
        }

        @Override
        public PeerIdentity peer() {
            return new PeerIdentity(InstanceId.of("s1"), 1, "sidecar", ZONE, SERVICE.value(), VERSION.value());
        }

        @Override
        public boolean send(Message message) {
            if (message instanceof Message.Dispatch dispatch) {
                calls.received(this, new Message.PlainResponse(dispatch.attempt(), status, List.of(), new byte[0]));
            }
            return true;
        }

        @Override
        public boolean isOpen() {
            return true;
        }

        @Override
        public void close() {}
    }

    /** Records what the caller is told. */
    private final class RecordingSink implements ResponseSink {
        @Override
        public void onTokens(List<byte[]> payloads) {}

        @Override
        public void onFinished() {}

        @Override
        public void onResponse(Message.PlainResponse response) {
            delivered.complete(Integer.toString(response.status()));
        }

        @Override
        public void onFailure(CallFailure failure) {
            delivered.complete(failure.kind() + " " + failure.ran());
        }

        @Override
        public void abort() {}

        @Override
        public boolean checkWritable(Runnable whenWritable) {
            return true;
        }
    }

    @AfterEach
    void stop() {
        workers.stop(Duration.ZERO).join();
        entry.stop();
    }

    @ParameterizedTest
    @CsvSource({
        "0, OUTCOME_UNKNOWN UNKNOWN",
        "1, OUTCOME_UNKNOWN UNKNOWN",
        "99, OUTCOME_UNKNOWN UNKNOWN",
        "100, OUTCOME_UNKNOWN UNKNOWN",
        "101, OUTCOME_UNKNOWN UNKNOWN",
        "199, OUTCOME_UNKNOWN UNKNOWN",
        "200, 200",
        "299, 299",
        "304, 304",
        "421, 421",
        "499, 499",
        "503, 503",
        "599, 599",
        "600, OUTCOME_UNKNOWN UNKNOWN",
        "999, OUTCOME_UNKNOWN UNKNOWN"
    })
    void aResponseOfASidecarIsDeliveredOnlyIfItIsFinal(int status, String expected) throws Exception {
        Member member = new Member(
                InstanceId.of("s1"), Role.SIDECAR, ZONE, "127.0.0.1", 1, Optional.of(SERVICE), Optional.of(VERSION));
        members.connected(member, 1);
        directory.rebuild();
        directory.connected(new AnsweringSidecar(status));

        entry.vertx.getOrCreateContext().runOnContext(ignored -> calls.newDriver(
                        plan(), Optional.empty(), new RecordingSink())
                .start());

        assertThat(delivered.get(5, TimeUnit.SECONDS), is(expected));
    }

    private static CallPlan plan() {
        WorkspaceName workspace = WorkspaceName.of("north");
        return new CallPlan(
                CallId.random(new Random(1)),
                new WorkspaceDocument(workspace, List.of(), Set.of(SERVICE), 1, 1, 1),
                new ServiceDocument(SERVICE, ServiceKind.PLAIN, VERSION, Map.of(), List.of()),
                RouteName.of("orders"),
                new Message.UpstreamRequest(false, "GET", "/orders/1", List.of(), new byte[0]),
                true,
                0,
                0,
                0,
                CallTraits.of(Optional.of(workspace), List.of()),
                Duration.ofMinutes(1).toNanos());
    }
}
