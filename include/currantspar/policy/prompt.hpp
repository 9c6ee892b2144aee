#ifndef CURRANTSPAR_POLICY_PROMPT_HPP
#define CURRANTSPAR_POLICY_PROMPT_HPP

#include <cstdint>
#include <string_view>
#include <vector>

namespace currantspar::policy {

/// Characters of prompt text per estimated token.
inline constexpr std::size_t characters_per_token = 4;

/// Estimates the number of tokens of a prompt, at least 1. Thread safe.
[[nodiscard]] std::uint32_t count_tokens(std::string_view prompt);

/// Returns a chained hash for each complete piece of `piece_tokens` tokens: two prompts have the same hash
/// for a piece only if they are equal up to its end. Precondition: piece_tokens > 0. Thread safe.
[[nodiscard]] std::vector<std::uint64_t> prefix_pieces(std::string_view prompt, std::uint32_t piece_tokens);

} // namespace currantspar::policy

#endif
