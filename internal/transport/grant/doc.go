// Package grant carries token requests from the VMs to the quota owner and its grants back, over the mesh.
package grant
