#ifndef CURRANTSPAR_IO_ANSWER_PIPE_HPP
#define CURRANTSPAR_IO_ANSWER_PIPE_HPP

#include <cstddef>
#include <functional>
#include <mutex>
#include <string>
#include <string_view>

#include "currantspar/io/http_client.hpp"

namespace currantspar::io {

/// Carries one plain answer from a backend server's connection to a caller's, with bounded memory. Thread
/// safe; the callbacks are called without its lock.
class answer_pipe
{
public:
    /// How far the writing side is.
    enum class progress
    {
        open,
        complete,
        broken,
    };

    explicit answer_pipe(http_head head, std::size_t limit = 256U << 10U);

    [[nodiscard]] const http_head& head() const { return head_; }

    // Writing side.
    /// Takes bytes, or returns false when it is full; then `on_space` is called once there is room.
    bool write(std::string_view bytes);
    void close(progress how);
    void set_on_space(std::function<void()> callback);

    // Reading side.
    /// Takes up to `most` bytes; 0 with `state` open: nothing yet, `on_data` will be called.
    std::size_t read(char* to, std::size_t most, progress& state);
    void set_on_data(std::function<void()> callback);

private:
    const http_head head_;
    const std::size_t limit_;
    std::mutex mutex_;
    std::string buffer_;
    std::size_t taken_ = 0; ///< bytes of buffer_ that were read
    progress state_ = progress::open;
    bool blocked_ = false; ///< a write was refused
    std::function<void()> on_space_;
    std::function<void()> on_data_;
};

} // namespace currantspar::io

#endif
