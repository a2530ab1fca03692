#pragma once

namespace Lagoonbank::Runtime {

/// Lets the allocator return large blocks to the system as soon as they are freed. By default it
/// keeps blocks of up to 32 MB once it has seen them, so that a process would go on to occupy the
/// memory of the largest bodies of its past, in pieces that others do not fit into.
void returnLargeBlocks();

} // namespace Lagoonbank::Runtime
