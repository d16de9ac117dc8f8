package coriandersill.explorer;

import coriandersill.sharedlog.PlatformLog;
import coriandersill.sharedlog.Scheduler;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;

/** A process of a {@link Simulation}; its tasks are queued while it is paused and dropped after it has crashed. */
public final class SimulatedProcess {
    private final Simulation simulation;
    private final String name;
    private final Deque<Runnable> pendingTasks = new ArrayDeque<>();
    private boolean crashed;
    private int activePauses;

    SimulatedProcess(Simulation simulation, String name) {
        this.simulation = simulation;
        this.name = name;
    }

    /** The name given to {@link Simulation#startProcess}. */
    public String name() {
        return name;
    }

    /** Whether {@link #crash} was called. */
    public boolean crashed() {
        return crashed;
    }

    /** Runs a task now, or after the current pause; drops it if the process has crashed. */
    public void run(Runnable task) {
        if (crashed) {
            return;
        }
        if (activePauses > 0) {
            pendingTasks.add(task);
        } else {
            task.run();
        }
    }

    /**
     * Pauses the process for {@code duration} of virtual time; if pauses overlap, it resumes when the last one ends.
     */
    public void pause(Duration duration) {
        activePauses++;
        simulation.schedule(duration, this::resume);
    }

    /** Stops the process permanently; a restart is modelled by a new process. */
    public void crash() {
        crashed = true;
        pendingTasks.clear();
    }

    /** A scheduler whose tasks run in this process, and so are subject to its pauses and crash. */
    public Scheduler scheduler() {
        return (delay, task) -> simulation.scheduler().schedule(delay, () -> run(task));
    }

    /** A client of the shared log whose responses are handled in this process. */
    public PlatformLog logClient() {
        return simulation.log().clientFor(this);
    }

    private void resume() {
        activePauses--;
        while (activePauses == 0 && !crashed && !pendingTasks.isEmpty()) {
            pendingTasks.poll().run();
        }
    }
}
