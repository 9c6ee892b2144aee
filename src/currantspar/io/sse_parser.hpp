#ifndef CURRANTSPAR_IO_SSE_PARSER_HPP
#define CURRANTSPAR_IO_SSE_PARSER_HPP

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace currantspar::io {

/// One server-sent event.
struct sse_event
{
    std::string name; ///< empty: the default
    std::string data;
};

/// Cuts a byte stream into server-sent events, with bounded memory. Not thread safe.
class sse_parser
{
public:
    explicit sse_parser(std::size_t most = 1U << 20U) : most_(most) {}

    /// Takes bytes and returns the events that became whole.
    std::vector<sse_event> feed(std::string_view bytes);
    /// True when an event was larger than the limit; nothing is parsed from then on.
    [[nodiscard]] bool overflowed() const { return overflowed_; }

private:
    void take_line(std::string_view line, std::vector<sse_event>& events);

    const std::size_t most_;
    std::string partial_; ///< the line that has no end yet
    sse_event current_;
    bool has_data_ = false;
    bool overflowed_ = false;
};

} // namespace currantspar::io

#endif
