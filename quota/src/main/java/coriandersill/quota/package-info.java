/** Limits the concurrency and token rate of each workspace and divides shared capacity among workspaces. */
package coriandersill.quota;
