#include "currantspar/io/answer_pipe.hpp"

#include <algorithm>
#include <cstring>
#include <utility>

namespace currantspar::io {

answer_pipe::answer_pipe(http_head head, std::size_t limit) : head_(std::move(head)), limit_(limit) {}

bool answer_pipe::write(std::string_view bytes)
{
    std::function<void()> tell;
    {
        const std::lock_guard lock(mutex_);
        const std::size_t held = buffer_.size() - taken_;
        if (held > 0 && held + bytes.size() > limit_) {
            blocked_ = true;
            return false;
        }
        buffer_.erase(0, taken_);
        taken_ = 0;
        buffer_.append(bytes);
        tell = on_data_;
    }
    if (tell) {
        tell();
    }
    return true;
}

void answer_pipe::close(progress how)
{
    std::function<void()> tell;
    {
        const std::lock_guard lock(mutex_);
        state_ = how;
        tell = on_data_;
        on_space_ = nullptr;
    }
    if (tell) {
        tell();
    }
}

void answer_pipe::set_on_space(std::function<void()> callback)
{
    const std::lock_guard lock(mutex_);
    on_space_ = std::move(callback);
}

std::size_t answer_pipe::read(char* to, std::size_t most, progress& state)
{
    std::function<void()> tell;
    std::size_t count = 0;
    {
        const std::lock_guard lock(mutex_);
        count = std::min(most, buffer_.size() - taken_);
        std::memcpy(to, buffer_.data() + taken_, count);
        taken_ += count;
        const bool empty = taken_ == buffer_.size();
        state = empty ? state_ : progress::open;
        if (blocked_ && empty) {
            blocked_ = false;
            tell = on_space_;
        }
    }
    if (tell) {
        tell();
    }
    return count;
}

void answer_pipe::set_on_data(std::function<void()> callback)
{
    const std::lock_guard lock(mutex_);
    on_data_ = std::move(callback);
}

} // namespace currantspar::io
