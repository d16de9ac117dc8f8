package coriandersill.soak;

import java.util.List;
import java.util.Objects;
import java.util.SplittableRandom;

/** A draw that depends on a seed and a key alone, so that it is the same in whatever order draws are made. */
record KeyedDraw(SplittableRandom random) {
    static KeyedDraw of(long seed, Object... key) {
        return new KeyedDraw(new SplittableRandom(seed * 31 + Objects.hash(key)));
    }

    /** Returns one of several choices, each with the same probability. */
    <T> T choose(List<T> choices) {
        return choices.get(random.nextInt(choices.size()));
    }

    /** Returns a number from a range; {@code max} is part of it. */
    int between(int min, int max) {
        return random.nextInt(min, max + 1);
    }
}
