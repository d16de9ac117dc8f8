/** Upstream selection, outlier ejection, retries and hedging. */
package coriandersill.routing;
