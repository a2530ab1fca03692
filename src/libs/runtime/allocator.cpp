#include "runtime/allocator.h"

#include <malloc.h>

namespace Lagoonbank::Runtime {

void returnLargeBlocks()
{
    constexpr int largeBlockBytes = 128 * 1024;
    constexpr int maxFreeBytes = 1024 * 1024; // At the end of the heap.
    mallopt(M_MMAP_THRESHOLD, largeBlockBytes);
    mallopt(M_TRIM_THRESHOLD, maxFreeBytes);
}

} // namespace Lagoonbank::Runtime
