package coriandersill.sharedlog.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import coriandersill.core.CallFailure;
import coriandersill.core.ErrorKind;
import coriandersill.core.Ran;
import coriandersill.sharedlog.LogPage;
import coriandersill.sharedlog.PlatformLog;
import coriandersill.standins.platform.InMemoryLog;
import coriandersill.standins.platform.LogFaults;
import coriandersill.standins.platform.PlatformServer;
import io.vertx.core.Vertx;
import java.time.Duration;
import java.time.InstantSource;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;

/**
 * Guards against a log that differs from the contract of {@link PlatformLog}, so that its readers lose or repeat
 * records or misjudge a failed append. The same cases run against the in-memory log, directly and over HTTP.
 */
final class PlatformLogContractTest {
    private static final byte[] RECORD_BYTES = {0, -1, 127, 10, -128};
    private static Vertx vertx;
    private static LogUnderTest inMemory;
    private static LogUnderTest overHttp;

    private record LogUnderTest(PlatformLog log, InMemoryLog storage) {
        LogFaults faults() {
            return storage.faults();
        }

        long append(String stream, int count) throws Exception {
            byte[][] records = new byte[count][];
            Arrays.fill(records, RECORD_BYTES);
            return await(log.append(stream, List.of(records)));
        }

        LogPage read(String stream, long from, int limit) throws Exception {
            return await(log.read(stream, from, limit));
        }
    }

    @FunctionalInterface
    private interface ContractCase {
        void run(LogUnderTest log, String stream) throws Exception;
    }

    @BeforeAll
    static void startTheServer() throws Exception {
        vertx = Vertx.vertx();
        InMemoryLog local = InMemoryLog.of(InstantSource.system());
        inMemory = new LogUnderTest(local, local);
        InMemoryLog served = InMemoryLog.of(InstantSource.system());
        PlatformServer server = PlatformServer.create(vertx, "127.0.0.1", 0, served);
        await(server.start());
        HttpPlatformClient platform = HttpPlatformClient.builder(vertx, "127.0.0.1", server.port())
                .requestTimeout(Duration.ofSeconds(20))
                .build();
        overHttp = new LogUnderTest(platform.log(), served);
    }

    @AfterAll
    static void stopTheServer() throws Exception {
        await(vertx.close().toCompletionStage().toCompletableFuture());
    }

    @TestFactory
    Stream<DynamicTest> everyLogFulfilsTheContract() {
        Map<String, ContractCase> cases = new TreeMap<>();
        addReads(cases);
        addFaults(cases);
        return cases.entrySet().stream()
                .flatMap(testCase -> Stream.of(
                        DynamicTest.dynamicTest(testCase.getKey() + "InMemory", () -> testCase.getValue()
                                .run(inMemory, testCase.getKey())),
                        DynamicTest.dynamicTest(testCase.getKey() + "OverHttp", () -> testCase.getValue()
                                .run(overHttp, testCase.getKey()))));
    }

    private static void addReads(Map<String, ContractCase> cases) {
        cases.put("offsetsAreConsecutiveAndBytesAreReturnedUnchanged", (log, stream) -> {
            assertThat(log.append(stream, 2), is(0L));
            assertThat(log.append(stream, 3), is(2L));
            LogPage page = log.read(stream, 1, 3);
            assertThat(page.records().stream().map(record -> record.offset()).toList(), is(List.of(1L, 2L, 3L)));
            assertThat(page.records().get(0).data(), is(RECORD_BYTES));
            assertThat(page.end(), is(5L));
        });
        cases.put("aReadAtTheEndWaitsForTheNextAppend", (log, stream) -> {
            CompletableFuture<LogPage> waiting = log.log().read(stream, 0, 10);
            log.append(stream, 1);
            assertThat(await(waiting).records().size(), is(1));
        });
        cases.put("aReadBeyondTheEndReturnsTheEndImmediately", (log, stream) -> {
            log.append(stream, 2);
            LogPage page = log.read(stream, 9, 10);
            assertThat(page.end(), is(2L));
            assertThat(page.records(), is(empty()));
        });
        cases.put("aReadOfATrimmedRangeReturnsTheOldestOffset", (log, stream) -> {
            log.append(stream, 5);
            log.faults().trim(stream, 3);
            LogPage page = log.read(stream, 0, 10);
            assertThat(page.oldest(), is(3L));
            assertThat(page.records().get(0).offset(), is(3L));
        });
        cases.put("aWaitingReadReturnsWhenTheOffsetsRestart", (log, stream) -> {
            log.append(stream, 2);
            CompletableFuture<LogPage> waiting = log.log().read(stream, 2, 10);
            await(log.storage().readNow(stream, 0, 1));
            log.faults().restart(stream);
            assertThat(await(waiting).end(), is(0L));
        });
    }

    private static void addFaults(Map<String, ContractCase> cases) {
        cases.put("aRefusedAppendIsReportedAsNotRun", (log, stream) -> {
            log.faults().setDown(true);
            assertFails(log.log().append(stream, List.of(RECORD_BYTES)), Ran.NO);
            log.faults().setDown(false);
            assertThat(log.append(stream, 1), is(0L));
        });
        cases.put("anAppendWhoseResponseIsLostIsReportedAsUnknownAndTheRecordIsAppended", (log, stream) -> {
            log.faults().loseResponses(1);
            assertFails(log.log().append(stream, List.of(RECORD_BYTES)), Ran.UNKNOWN);
            assertThat(log.read(stream, 0, 10).records().size(), is(1));
        });
        cases.put("aReadFailsWhileTheLogIsDown", (log, stream) -> {
            log.faults().setDown(true);
            CallFailure failure = failure(log.log().read(stream, 0, 10));
            log.faults().setDown(false);
            assertThat(failure.kind(), is(ErrorKind.LOG_UNAVAILABLE));
        });
    }

    private static void assertFails(CompletableFuture<?> future, Ran ran) {
        CallFailure failure = failure(future);
        assertThat(failure.getMessage(), failure.kind(), is(ErrorKind.LOG_UNAVAILABLE));
        assertThat(failure.getMessage(), failure.ran(), is(ran));
    }

    static CallFailure failure(CompletableFuture<?> future) {
        return CallFailure.from(Assertions.assertThrows(ExecutionException.class, () -> await(future))
                .getCause());
    }

    static <T> T await(CompletableFuture<T> future) throws ExecutionException, InterruptedException, TimeoutException {
        return future.get(20, TimeUnit.SECONDS);
    }
}
