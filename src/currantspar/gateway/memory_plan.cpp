#include "currantspar/gateway/memory_plan.hpp"

#include <algorithm>
#include <fstream>

#include <malloc.h>
#include <unistd.h>

#include "currantspar/gateway/memory_budget.hpp"

namespace currantspar::gateway {

namespace {

/// The parts of the memory for what is held in the process and for the kernel's buffers. What is left is for
/// the program and its tables.
constexpr std::size_t budget_divisor = 3;
constexpr std::size_t caller_buffers_divisor = 4;
constexpr std::size_t server_buffers_divisor = 8;
/// Never handed out, for what is allocated between two looks at the resident memory.
constexpr std::size_t slack_divisor = 16;
/// Ordinary requests are served with this part of the memory even if the rest is used up.
constexpr std::size_t min_budget_divisor = 16;
/// Larger blocks, like bodies, go back to the system when they are freed. The C library would raise the
/// threshold to the largest freed block, and later bodies would fragment the heap.
constexpr int large_block_bytes = 131072;
/// Free memory at the end of the heap that is kept.
constexpr int kept_heap_bytes = 1048576;
/// Less would split each message into many round trips, more isn't needed within a region.
constexpr std::size_t min_receive_buffer = 8192;
constexpr std::size_t max_receive_buffer = 131072;
/// Large responses would be slow with less. Few servers send more than is read at once.
constexpr std::size_t server_receive_buffer = 65536;

} // namespace

memory_plan plan_memory(std::size_t memory_bytes, std::size_t caller_connections)
{
    if (memory_bytes == 0) {
        return {memory_budget::unlimited, 0, 0, 0};
    }
    memory_plan plan;
    plan.budget = memory_bytes / budget_divisor;
    plan.caller_receive_buffer =
        std::clamp(memory_bytes / caller_buffers_divisor / std::max<std::size_t>(caller_connections, 1),
                   min_receive_buffer, max_receive_buffer);
    plan.server_receive_buffer = server_receive_buffer;
    plan.kernel = plan.caller_receive_buffer * caller_connections + memory_bytes / server_buffers_divisor;
    return plan;
}

std::size_t budget_beside(const memory_plan& plan, std::size_t memory_bytes, std::size_t other_bytes)
{
    if (memory_bytes == 0) {
        return memory_budget::unlimited;
    }
    const std::size_t taken = plan.kernel + other_bytes + memory_bytes / slack_divisor;
    const std::size_t left = memory_bytes > taken ? memory_bytes - taken : 0;
    return std::clamp(left, memory_bytes / min_budget_divisor, plan.budget);
}

std::size_t resident_memory()
{
#ifdef __SANITIZE_ADDRESS__
    return 0;
#else
    std::size_t total_pages = 0;
    std::size_t resident_pages = 0;
    std::ifstream("/proc/self/statm") >> total_pages >> resident_pages;
    return resident_pages * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
#endif
}

void configure_allocator()
{
    ::mallopt(M_MMAP_THRESHOLD, large_block_bytes);
    ::mallopt(M_TRIM_THRESHOLD, kept_heap_bytes);
}

void release_free_memory()
{
    ::malloc_trim(0);
}

} // namespace currantspar::gateway
