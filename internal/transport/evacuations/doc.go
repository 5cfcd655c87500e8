// Package evacuations serves the product's own operator calls about evacuated data centres at a control VM, and makes them.
package evacuations
