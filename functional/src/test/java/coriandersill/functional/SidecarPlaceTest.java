package coriandersill.functional;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import coriandersill.admission.AdmissionController;
import coriandersill.admission.AdmissionDecision;
import coriandersill.admission.AdmissionRequest;
import coriandersill.admission.Completion;
import coriandersill.admission.FixedLimitAdmission;
import coriandersill.admission.UpstreamLoad;
import coriandersill.core.CallFailure;
import coriandersill.core.CallId;
import coriandersill.core.ErrorKind;
import coriandersill.sidecar.DispatchCheck;
import coriandersill.wire.Message;
import io.vertx.core.net.NetServer;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a sidecar that tells an entry that a call has ended while it still counts the call as running, so that
 * the entry's next call is refused although there is room for it.
 */
final class SidecarPlaceTest {
    private static final String TOKEN_AND_END = "data: a\n\ndata: [DONE]\n\n";

    private final SidecarFixture sidecar = new SidecarFixture();
    private final AtomicBoolean refusesBeforeSending = new AtomicBoolean();
    private final Random random = new Random(1);
    private NetServer upstream;
    private RecordingEntry entry;

    /** An admission of one call at a time that takes a while to record the end of a call. */
    private static final class SlowAdmission implements AdmissionController {
        private static final long RECORDING_MILLIS = 200;

        private final AdmissionController admission = FixedLimitAdmission.of(1);

        @Override
        public AdmissionDecision offer(AdmissionRequest request) {
            return admission.offer(request);
        }

        @Override
        public void generated(CallId id, int tokens) {
            admission.generated(id, tokens);
        }

        @Override
        public List<AdmissionDecision> finished(CallId id, Completion completion) {
            try {
                TimeUnit.MILLISECONDS.sleep(RECORDING_MILLIS);
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
            return admission.finished(id, completion);
        }

        @Override
        public List<AdmissionDecision> processQueue() {
            return admission.processQueue();
        }

        @Override
        public UpstreamLoad load() {
            return admission.load();
        }
    }

    private final class CheckBeforeSending implements DispatchCheck {
        @Override
        public Optional<CallFailure> checkOnArrival(Message.Dispatch dispatch) {
            return Optional.empty();
        }

        @Override
        public Optional<CallFailure> checkBeforeSending(Message.Dispatch dispatch) {
            return refusesBeforeSending.get()
                    ? Optional.of(CallFailure.of(ErrorKind.FENCED, "refused before it is sent"))
                    : Optional.empty();
        }
    }

    @BeforeEach
    void start() {
        upstream = sidecar.vertx
                .createNetServer()
                .connectHandler(socket -> socket.handler(request -> {
                    String body = request.toString().contains("/v1/completions") ? TOKEN_AND_END : "whole";
                    socket.write("HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
                }));
        upstream.listen(0, "127.0.0.1")
                .toCompletionStage()
                .toCompletableFuture()
                .join();
        sidecar.start(upstream.actualPort(), builder -> builder.admission(new SlowAdmission())
                .dispatchCheck(new CheckBeforeSending()));
        entry = sidecar.connect();
    }

    @AfterEach
    void stop() {
        sidecar.close();
    }

    @Test
    void aCallSentRightAfterAnAnswerIsNotRefused() {
        for (int i = 0; i < 3; i++) {
            assertThat(call(false), instanceOf(Message.PlainResponse.class));
        }
    }

    @Test
    void aCallSentRightAfterTheEndOfAGenerationIsNotRefused() {
        for (int i = 0; i < 3; i++) {
            assertThat(call(true), instanceOf(Message.Finished.class));
        }
    }

    @Test
    void aCallSentRightAfterARefusalBeforeTheUpstreamIsNotRefusedForLackOfRoom() {
        refusesBeforeSending.set(true);
        assertThat(((Message.Refused) call(false)).kind(), is(ErrorKind.FENCED));
        refusesBeforeSending.set(false);

        assertThat(call(false), instanceOf(Message.PlainResponse.class));
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void aCallSentRightAfterTheUpstreamRefusedAConnectionIsNotRefusedForLackOfRoom(boolean generation) {
        upstream.close().toCompletionStage().toCompletableFuture().join();

        for (int i = 0; i < 2; i++) {
            assertThat(((Message.Refused) call(generation)).kind(), is(ErrorKind.UNAVAILABLE));
        }
    }

    /** Guards against an end that is accounted for only after the sidecar has reported that no call is open. */
    @Test
    void anIdleSidecarCountsNoCallAsRunning() {
        call(false);
        Await.until(sidecar.sidecar()::isIdle);

        assertThat(sidecar.sidecar().admission().load().running(), is(0));
    }

    /** Sends a call and returns how it ended. */
    private Message call(boolean generation) {
        Message.CallAttempt attempt = new Message.CallAttempt(CallId.random(random), 1);
        entry.send(new Message.Dispatch(
                attempt,
                new Message.Target("north", 1, "scribe", "v1", "completions", 0),
                Duration.ofSeconds(20),
                1,
                1,
                1,
                new Message.UpstreamRequest(
                        generation, "GET", generation ? "/v1/completions" : "/", List.of(), new byte[0]),
                Optional.empty()));
        return Await.untilValue(() -> end(attempt), Optional::isPresent).orElseThrow();
    }

    private Optional<Message> end(Message.CallAttempt attempt) {
        return entry.received().stream()
                .filter(message -> message instanceof Message.CallMessage callMessage
                        && callMessage.attempt().equals(attempt)
                        && !(message instanceof Message.Accepted)
                        && !(message instanceof Message.Tokens))
                .findFirst();
    }
}
