package coriandersill.catalog;

/**
 * The engines of a service of generations.
 *
 * @param memoryTokens tokens of running and cached generations that one engine holds
 * @param moves whether engines hand running generations to each other
 */
public record EngineRule(int memoryTokens, boolean moves) {}
