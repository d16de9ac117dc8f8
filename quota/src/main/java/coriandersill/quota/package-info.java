/** Decides how much of the shared capacity each workspace may use. */
package coriandersill.quota;
