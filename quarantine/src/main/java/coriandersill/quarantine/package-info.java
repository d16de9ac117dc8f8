/** Finds the prompt parts whose generations crash engines, and refuses further generations with them. */
package coriandersill.quarantine;
