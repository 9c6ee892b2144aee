#ifndef CURRANTSPAR_CONFIG_OBJECT_READER_HPP
#define CURRANTSPAR_CONFIG_OBJECT_READER_HPP

#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <string_view>

#include "currantspar/base/ids.hpp"
#include "currantspar/base/time.hpp"
#include "currantspar/config/located_json.hpp"

namespace currantspar::config {

/// Collects the faults of one text.
class fault_list
{
public:
    explicit fault_list(const located_json& document) : document_(document), faults_(document.faults) {}

    void add(const std::string& pointer, std::string found, std::string expected);
    /// Adds a fault that shows the value as written, cut to a readable length.
    void add_value(const std::string& pointer, const nlohmann::json& value, std::string expected);

    /// The faults in the order of their lines.
    [[nodiscard]] diagnostics sorted() const;

private:
    const located_json& document_;
    diagnostics faults_;
};

/// Whether an object must have a key.
enum class presence
{
    optional,
    required,
};

template <typename T>
struct bounds
{
    T least;
    T most;
};

/// Reads the members of one JSON object, each checked; finish() reports the keys that nobody read. Members
/// that are absent or faulty leave the target as it was. Not thread safe.
class object_reader
{
public:
    using item_handler = std::function<void(const nlohmann::json& item, const std::string& pointer)>;

    object_reader(fault_list& faults, const nlohmann::json& value, std::string pointer);

    void text(std::string_view key, std::string& out, presence need = presence::optional);
    /// A name: letters, digits, `.`, `_` and `-`, at most 64.
    void name(std::string_view key, std::string& out, presence need = presence::required);
    template <typename Tag>
    void name(std::string_view key, name_of<Tag>& out, presence need = presence::required)
    {
        std::string read;
        name(key, read, need);
        out = name_of<Tag>(read);
    }
    void address(std::string_view key, std::string& out, presence need = presence::optional);
    void boolean(std::string_view key, bool& out);
    void number(std::string_view key, double& out, bounds<double> range);
    template <typename Integer>
    void integer(std::string_view key, Integer& out, bounds<std::uint64_t> range)
    {
        std::uint64_t read = out;
        read_integer(key, read, range);
        out = static_cast<Integer>(read);
    }
    void time(std::string_view key, duration& out, bounds<duration> range);
    /// One of the names of an enumeration that nlohmann::json can read.
    template <typename Enum>
    void one_of(std::string_view key, Enum& out, const std::set<std::string>& names)
    {
        if (const nlohmann::json* found = choice(key, names)) {
            found->get_to(out);
        }
    }
    /// Calls `handle` for each item of a list.
    void list(std::string_view key, const item_handler& handle, presence need = presence::optional);
    /// Calls `handle` for the value of the key, whatever it is.
    void member(std::string_view key, const item_handler& handle, presence need = presence::optional);

    [[nodiscard]] bool has(std::string_view key) const;
    [[nodiscard]] const std::string& pointer() const { return pointer_; }
    /// Reports every key that was not read as a fault.
    void finish();

private:
    const nlohmann::json* find(std::string_view key, presence need);
    const nlohmann::json* choice(std::string_view key, const std::set<std::string>& names);
    void read_integer(std::string_view key, std::uint64_t& out, bounds<std::uint64_t> range);
    void fault(std::string_view key, const nlohmann::json& value, std::string expected);

    fault_list& faults_;
    const nlohmann::json& value_;
    std::string pointer_;
    std::set<std::string, std::less<>> read_;
};

/// True for a name as object_reader::name takes it. Thread safe.
[[nodiscard]] bool is_name(std::string_view text);

/// Joins names for a message. Thread safe.
[[nodiscard]] std::string joined(const std::set<std::string>& names);

} // namespace currantspar::config

#endif
