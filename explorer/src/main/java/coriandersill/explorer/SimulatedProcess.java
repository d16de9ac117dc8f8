package coriandersill.explorer;

import coriandersill.sharedlog.PlatformLog;
import coriandersill.sharedlog.Scheduler;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;

/** A process of a {@link Simulation}: paused, its tasks wait; dead, they are dropped. */
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

    /** Its name. */
    public String name() {
        return name;
    }

    /** Whether it has died. */
    public boolean crashed() {
        return crashed;
    }

    /** Runs a task now, when the process wakes, or never. */
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

    /** Pauses the process; time goes on meanwhile. */
    public void pause(Duration time) {
        activePauses++;
        simulation.after(time, this::resume);
    }

    /** Ends the process for good; a restart is a new process. */
    public void crash() {
        crashed = true;
        pendingTasks.clear();
    }

    /** Runs delayed tasks in this process. */
    public Scheduler scheduler() {
        return (delay, task) -> simulation.scheduler().schedule(delay, () -> run(task));
    }

    /** The log, whose answers are taken in this process. */
    public PlatformLog log() {
        return simulation.log().clientFor(this);
    }

    private void resume() {
        activePauses--;
        while (activePauses == 0 && !crashed && !pendingTasks.isEmpty()) {
            pendingTasks.poll().run();
        }
    }
}
