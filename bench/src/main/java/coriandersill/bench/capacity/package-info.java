/** Measures the costs per connection and per ping that docs/CAPACITY.md uses. */
package coriandersill.bench.capacity;
