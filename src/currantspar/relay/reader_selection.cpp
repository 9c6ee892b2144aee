#include "currantspar/relay/reader_selection.hpp"

#include <algorithm>

namespace currantspar::relay {

reader_selection::reader_selection(std::string self, data_centre_id data_centre,
                                   reader_selection_options options)
    : self_(std::move(self)), data_centre_(std::move(data_centre)), options_(options)
{}

void reader_selection::on_node(const std::string& node, const data_centre_id& data_centre)
{
    if (data_centre == data_centre_ && node < self_) {
        predecessors_.insert(node);
    }
}

bool reader_selection::on_update(const std::string& node, duration age, instant now)
{
    if (!predecessors_.contains(node)) {
        return false;
    }
    const instant as_of = now - age;
    last_update_at_ = has_update_ ? std::max(last_update_at_, as_of) : as_of;
    has_update_ = true;
    return true;
}

bool reader_selection::should_read(instant now) const
{
    const auto place = std::min(predecessors_.size(), static_cast<std::size_t>(options_.max_steps));
    const duration limit = options_.max_age + options_.step * static_cast<std::int64_t>(place);
    return !has_update_ || now - last_update_at_ > limit;
}

} // namespace currantspar::relay
