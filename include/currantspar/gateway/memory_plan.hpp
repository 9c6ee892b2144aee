#ifndef CURRANTSPAR_GATEWAY_MEMORY_PLAN_HPP
#define CURRANTSPAR_GATEWAY_MEMORY_PLAN_HPP

#include <cstddef>

namespace currantspar::gateway {

/// How the memory of a process is divided up among what its peers can make it hold, in bytes. Received data
/// that wait in the kernel count like the process's own memory.
struct memory_plan
{
    std::size_t budget = 0;                ///< held in the process for its peers, at most
    std::size_t caller_receive_buffer = 0; ///< of the kernel, for each connection of a caller; 0: its default
    std::size_t server_receive_buffer = 0; ///< the same for each connection to a server
    std::size_t kernel = 0;                ///< set aside for all receive buffers
};

/// Divides up the memory of a process with at most as many connections of callers. Without a limit on the
/// memory (0), nothing is limited. Thread safe.
[[nodiscard]] memory_plan plan_memory(std::size_t memory_bytes, std::size_t caller_connections);

/// What may be held for peers beside `other_bytes` of the process's memory that aren't charged to the budget,
/// like its tables and free memory of the heap. At least a small part of the memory, at most the plan's
/// budget. Thread safe.
[[nodiscard]] std::size_t budget_beside(const memory_plan& plan, std::size_t memory_bytes,
                                        std::size_t other_bytes);

/// The resident memory of this process in bytes; 0 when the system doesn't tell, or when a checker's own
/// memory is in it. Thread safe.
[[nodiscard]] std::size_t resident_memory();

/// Makes the C library return freed memory to the system instead of keeping it. Call it once, before memory
/// is allocated for peers. Thread safe.
void configure_allocator();

/// Returns free memory inside the heap to the system. Takes milliseconds. Thread safe.
void release_free_memory();

} // namespace currantspar::gateway

#endif
