#include "currantspar/config/located_json.hpp"

#include <cstddef>
#include <deque>
#include <iterator>
#include <vector>

namespace currantspar::config {

namespace {

/// Where the lexer has read up to.
struct read_position
{
    unsigned line = 1;
    char last = 0;
};

/// Iterates over the text and counts the lines that were read.
class counting_iterator
{
public:
    using iterator_category = std::input_iterator_tag;
    using value_type = char;
    using difference_type = std::ptrdiff_t;
    using pointer = const char*;
    using reference = const char&;

    counting_iterator(const char* at, read_position* position) : at_(at), position_(position) {}

    reference operator*() const { return *at_; }
    counting_iterator& operator++()
    {
        position_->last = *at_;
        position_->line += *at_ == '\n' ? 1 : 0;
        ++at_;
        return *this;
    }
    friend bool operator==(const counting_iterator& left, const counting_iterator& right)
    {
        return left.at_ == right.at_;
    }

private:
    const char* at_;
    read_position* position_;
};

/// Builds the document from the parser's events.
class document_builder
{
public:
    using number_integer_t = nlohmann::json::number_integer_t;
    using number_unsigned_t = nlohmann::json::number_unsigned_t;
    using number_float_t = nlohmann::json::number_float_t;
    using string_t = nlohmann::json::string_t;
    using binary_t = nlohmann::json::binary_t;

    document_builder(located_json& out, const read_position& position) : out_(out), position_(position) {}

    bool null() { return add(nullptr, position_.line) != nullptr; }
    bool boolean(bool value) { return add(value, position_.line) != nullptr; }
    bool number_integer(number_integer_t value) { return add(value, number_line()) != nullptr; }
    bool number_unsigned(number_unsigned_t value) { return add(value, number_line()) != nullptr; }
    bool number_float(number_float_t value, const string_t&) { return add(value, number_line()) != nullptr; }
    bool string(string_t& value) { return add(std::move(value), position_.line) != nullptr; }
    bool binary(binary_t&) { return false; }
    bool start_object(std::size_t) { return open(nlohmann::json::object()); }
    bool start_array(std::size_t) { return open(nlohmann::json::array()); }
    bool end_object() { return close(); }
    bool end_array() { return close(); }

    bool key(string_t& name)
    {
        key_ = std::move(name);
        return true;
    }

    bool parse_error(std::size_t, const std::string& token, const nlohmann::detail::exception&)
    {
        const unsigned line = position_.last == '\n' ? position_.line - 1 : position_.line;
        out_.faults.push_back({"", line, "`" + token + "`", "JSON with comments"});
        return false;
    }

private:
    struct level
    {
        nlohmann::json* value;
        std::string pointer;
    };

    /// The lexer reads one character past a number.
    [[nodiscard]] unsigned number_line() const
    {
        return position_.last == '\n' ? position_.line - 1 : position_.line;
    }

    nlohmann::json* add(nlohmann::json value, unsigned line)
    {
        if (open_.empty()) {
            out_.value = std::move(value);
            pointer_.clear();
            out_.lines.emplace("", line);
            return &out_.value;
        }
        level& parent = open_.back();
        if (parent.value->is_array()) {
            pointer_ = pointer_to(parent.pointer, parent.value->size());
            out_.lines.emplace(pointer_, line);
            parent.value->push_back(std::move(value));
            return &parent.value->back();
        }
        pointer_ = pointer_to(parent.pointer, key_);
        if (parent.value->contains(key_)) {
            out_.faults.push_back({pointer_, line, "the key a second time", "each key once"});
            discarded_.push_back(std::move(value));
            return &discarded_.back();
        }
        out_.lines.emplace(pointer_, line);
        return &((*parent.value)[key_] = std::move(value));
    }

    bool open(nlohmann::json value)
    {
        if (open_.size() >= max_json_depth) {
            out_.faults.push_back({"", position_.line, "deeper nesting",
                                   "at most " + std::to_string(max_json_depth) + " levels"});
            return false;
        }
        nlohmann::json* added = add(std::move(value), position_.line);
        open_.push_back({added, pointer_});
        return true;
    }

    bool close()
    {
        open_.pop_back();
        return true;
    }

    located_json& out_;
    const read_position& position_;
    std::vector<level> open_;
    std::string key_;
    std::string pointer_;
    std::deque<nlohmann::json> discarded_; ///< values of duplicate keys; a deque keeps them in place
};

} // namespace

unsigned located_json::line(std::string pointer) const
{
    while (true) {
        if (const auto found = lines.find(pointer); found != lines.end()) {
            return found->second;
        }
        const std::size_t slash = pointer.rfind('/');
        if (slash == std::string::npos) {
            return 0;
        }
        pointer.resize(slash);
    }
}

std::string pointer_to(const std::string& parent, std::string_view key)
{
    std::string pointer = parent + "/";
    for (const char c : key) {
        if (c == '~') {
            pointer += "~0";
        } else if (c == '/') {
            pointer += "~1";
        } else {
            pointer += c;
        }
    }
    return pointer;
}

std::string pointer_to(const std::string& parent, std::size_t index)
{
    return parent + "/" + std::to_string(index);
}

located_json read_located(std::string_view text)
{
    located_json out;
    read_position position;
    document_builder builder(out, position);
    const counting_iterator first(text.data(), &position);
    const counting_iterator last(text.data() + text.size(), &position);
    out.complete =
        nlohmann::json::sax_parse(first, last, &builder, nlohmann::json::input_format_t::json, true, true);
    return out;
}

} // namespace currantspar::config
