#include "currantspar/policy/prompt.hpp"

#include <algorithm>

#include "currantspar/base/hash.hpp"

namespace currantspar::policy {

std::uint32_t count_tokens(std::string_view prompt)
{
    return static_cast<std::uint32_t>(std::max<std::size_t>(1, prompt.size() / characters_per_token));
}

std::vector<std::uint64_t> prefix_pieces(std::string_view prompt, std::uint32_t piece_tokens)
{
    const std::size_t piece_size = piece_tokens * characters_per_token;
    std::vector<std::uint64_t> hashes;
    std::uint64_t chained = 0;
    for (std::size_t begin = 0; begin + piece_size <= prompt.size(); begin += piece_size) {
        chained = fast_hash(prompt.substr(begin, piece_size), chained);
        hashes.push_back(chained);
    }
    return hashes;
}

} // namespace currantspar::policy
