package coriandersill.connections;

import com.sun.management.UnixOperatingSystemMXBean;
import java.lang.management.ManagementFactory;
import java.util.OptionalInt;
import java.util.OptionalLong;

/**
 * What this process may use.
 *
 * @param heapBytes the maximum size of the heap
 * @param memoryBytes the memory of the machine that the process may occupy, in and outside the heap
 * @param fileDescriptors the number of file descriptors that the process may have open
 */
public record ProcessLimits(long heapBytes, long memoryBytes, int fileDescriptors) {
    /** Memory that an entry occupies without any request: classes, compiled code, threads. */
    private static final long BASE_BYTES = 64L << 20;

    /** The part of the heap for what callers send and do not read; the rest is for calls, streams and tables. */
    private static final int HEAP_PARTS = 3;

    /** The part of the heap that the connections themselves may occupy. */
    private static final int CONNECTION_HEAP_PARTS = 8;

    /** Heap and buffers of an idle connection, with its handlers. */
    private static final int CONNECTION_BYTES = 8 << 10;

    /** The part of the descriptors that the connections to an internal port may take. */
    private static final int INTERNAL_PORT_PARTS = 24;

    /** A body of the maximum size with the smaller array from which it is copied while it grows. */
    private static final int MIN_SHARED_BYTES = 8 << 20;

    /** Descriptors for classes, the store, reports of engines, other entries and the other ports. */
    private static final int MAX_RESERVED_DESCRIPTORS = 256;

    /** Each call needs the descriptor of its caller and that of its upstream. */
    private static final int DESCRIPTORS_PER_CALL = 2;

    /** The number of descriptors assumed where the operating system does not state a limit. */
    private static final int DEFAULT_FILE_DESCRIPTORS = 1_024;

    /** Returns the limits of this process; those that the settings do not state are asked of the system. */
    public static ProcessLimits of(OptionalLong memoryBytes, OptionalInt fileDescriptors) {
        return new ProcessLimits(
                Runtime.getRuntime().maxMemory(),
                memoryBytes.orElse(Long.MAX_VALUE),
                Math.min(fileDescriptors.orElse(Integer.MAX_VALUE), systemFileDescriptors()));
    }

    private static int systemFileDescriptors() {
        return ManagementFactory.getOperatingSystemMXBean() instanceof UnixOperatingSystemMXBean system
                ? (int) Math.min(Integer.MAX_VALUE, system.getMaxFileDescriptorCount())
                : DEFAULT_FILE_DESCRIPTORS;
    }

    /**
     * Returns the memory for heads, bodies and unread responses together. While bytes are written, a copy of them
     * outside the heap exists, so memory outside the heap bounds it as well.
     */
    public long sharedBytes() {
        long outsideHeap = memoryBytes - heapBytes - BASE_BYTES;
        return Math.max(MIN_SHARED_BYTES, Math.min(heapBytes / HEAP_PARTS, outsideHeap));
    }

    /** Returns the maximum number of connections to a port for other parts of the system, {@code most} at most. */
    public int maxInternalConnections(int most) {
        return Math.max(1, Math.min(most, fileDescriptors / INTERNAL_PORT_PARTS));
    }

    /** Returns the maximum number of connections of callers. */
    public int maxCallerConnections() {
        int reserved = Math.min(MAX_RESERVED_DESCRIPTORS, fileDescriptors / DESCRIPTORS_PER_CALL);
        long byMemory = heapBytes / CONNECTION_HEAP_PARTS / CONNECTION_BYTES;
        return (int) Math.max(1, Math.min(byMemory, (fileDescriptors - reserved) / DESCRIPTORS_PER_CALL));
    }
}
