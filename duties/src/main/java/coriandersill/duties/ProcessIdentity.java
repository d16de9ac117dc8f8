package coriandersill.duties;

import coriandersill.core.InstanceId;

/**
 * One process; two processes with the same name differ by their start.
 *
 * @param name the name of the entry
 * @param start a random number that the process drew when it started
 */
public record ProcessIdentity(InstanceId name, long start) {}
