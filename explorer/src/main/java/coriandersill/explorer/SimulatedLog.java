package coriandersill.explorer;

import coriandersill.core.CallFailure;
import coriandersill.core.ErrorKind;
import coriandersill.core.Ran;
import coriandersill.sharedlog.LogPage;
import coriandersill.sharedlog.LogRecord;
import coriandersill.sharedlog.PlatformLog;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/**
 * The platform's shared log in a {@link Simulation}. Requests and responses are delayed, requests and responses of
 * appends may also be lost, and the log can have outages.
 */
public final class SimulatedLog {
    /** The time after which an append fails at the client if it has no response; reads do not time out. */
    private static final Duration APPEND_TIMEOUT = Duration.ofSeconds(1);
    /** The delay of the response to a read at the end of a stream, even if records are appended meanwhile. */
    private static final Duration LONG_POLL_DELAY = Duration.ofMillis(500);

    private static final double RESPONSE_LOSS_PROBABILITY = 0.08;
    private static final double REQUEST_LOSS_PROBABILITY = 0.03;

    private final Simulation simulation;
    private final Map<String, List<LogRecord>> streams = new HashMap<>();
    private int activeOutages;

    SimulatedLog(Simulation simulation) {
        this.simulation = simulation;
    }

    /** Makes every append and read fail for {@code duration} of virtual time. */
    public void startOutage(Duration duration) {
        activeOutages++;
        simulation.schedule(duration, () -> activeOutages--);
    }

    /** The records appended to {@code stream} so far. */
    public List<LogRecord> records(String stream) {
        return streams.computeIfAbsent(stream, name -> new ArrayList<>());
    }

    PlatformLog clientFor(SimulatedProcess process) {
        return new PlatformLog() {
            @Override
            public CompletableFuture<Long> append(String stream, List<byte[]> data) {
                CompletableFuture<Long> response = new CompletableFuture<>();
                sendAppend(process, stream, data, response);
                return response;
            }

            @Override
            public CompletableFuture<LogPage> read(String stream, long from, int limit) {
                CompletableFuture<LogPage> response = new CompletableFuture<>();
                simulation.schedule(simulation.linkDelay(), () -> handleRead(process, stream, from, limit, response));
                return response;
            }
        };
    }

    private void sendAppend(
            SimulatedProcess process, String stream, List<byte[]> data, CompletableFuture<Long> response) {
        if (!simulation.randomBoolean(REQUEST_LOSS_PROBABILITY)) {
            simulation.schedule(simulation.linkDelay(), () -> handleAppend(process, stream, data, response));
        }
        CallFailure timeout = unavailable("no response to the append within " + APPEND_TIMEOUT)
                .withRan(Ran.UNKNOWN);
        simulation.schedule(APPEND_TIMEOUT, () -> process.run(() -> response.completeExceptionally(timeout)));
    }

    private void handleAppend(
            SimulatedProcess process, String stream, List<byte[]> data, CompletableFuture<Long> response) {
        if (activeOutages > 0) {
            respond(process, () -> response.completeExceptionally(unavailable("the simulated log has an outage")));
            return;
        }
        List<LogRecord> records = records(stream);
        long first = records.size();
        for (byte[] bytes : data) {
            records.add(new LogRecord(records.size(), simulation.clock().instant(), bytes));
        }
        if (!simulation.randomBoolean(RESPONSE_LOSS_PROBABILITY)) {
            respond(process, () -> response.complete(first));
        }
    }

    private void handleRead(
            SimulatedProcess process, String stream, long from, int limit, CompletableFuture<LogPage> response) {
        if (activeOutages > 0) {
            respond(process, () -> response.completeExceptionally(unavailable("the simulated log has an outage")));
        } else if (records(stream).size() > from) {
            respond(process, () -> response.complete(page(stream, from, limit)));
        } else {
            simulation.schedule(
                    LONG_POLL_DELAY, () -> respond(process, () -> response.complete(page(stream, from, limit))));
        }
    }

    private LogPage page(String stream, long from, int limit) {
        List<LogRecord> records = records(stream);
        int start = (int) Math.min(from, records.size());
        int end = Math.min(records.size(), start + limit);
        return new LogPage(0, records.size(), new ArrayList<>(records.subList(start, end)));
    }

    private void respond(SimulatedProcess process, Runnable task) {
        simulation.schedule(simulation.linkDelay(), () -> process.run(task));
    }

    private static CallFailure unavailable(String reason) {
        return CallFailure.of(ErrorKind.LOG_UNAVAILABLE, reason);
    }
}
