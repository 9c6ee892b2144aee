#include "currantspar/agreement/record.hpp"

#include <algorithm>
#include <array>
#include <utility>

#include "currantspar/base/hash.hpp"

namespace currantspar::agreement {

namespace {

constexpr unsigned encoding_version = 1;

constexpr std::array<std::string_view, std::variant_size_v<record_body>> kinds = {
    "publish", "checkpoint", "claim", "renew",       "release",
    "intent",  "result",     "key",   "key_outcome", "unknown"};

template <typename Record>
nlohmann::json body_json(const Record& record)
{
    return record;
}

nlohmann::json body_json(const unknown_record&)
{
    return nlohmann::json::object();
}

template <std::size_t Index = 0>
result<record_body> decode_kind(std::string_view kind, const nlohmann::json& object, std::string_view bytes)
{
    if constexpr (Index + 1 == std::variant_size_v<record_body>) {
        return unknown_record{std::string(kind), std::string(bytes)};
    } else {
        if (kind == kinds[Index]) {
            return object.get<std::variant_alternative_t<Index, record_body>>();
        }
        return decode_kind<Index + 1>(kind, object, bytes);
    }
}

} // namespace

publish_record make_publish(publish_id id, revision base, std::string_view base_text, std::string text,
                            std::string author)
{
    publish_record record;
    record.id = std::move(id);
    record.base = base;
    record.author = std::move(author);
    const std::size_t shorter = std::min(base_text.size(), text.size());
    const auto front_end =
        std::mismatch(text.begin(), text.begin() + static_cast<std::ptrdiff_t>(shorter), base_text.begin());
    const auto front = static_cast<std::size_t>(front_end.first - text.begin());
    const auto max_back = static_cast<std::ptrdiff_t>(shorter - front);
    const auto back_end = std::mismatch(text.rbegin(), text.rbegin() + max_back, base_text.rbegin());
    const auto back = static_cast<std::size_t>(back_end.first - text.rbegin());
    if (base.value() != 0 && (front + back) * 2 > text.size()) {
        record.is_delta = true;
        record.keep_front = front;
        record.keep_back = back;
        record.text_hash = fast_hash(text);
        text = text.substr(front, text.size() - front - back);
    }
    record.text = std::move(text);
    return record;
}

result<std::string> published_text(const publish_record& record, std::string_view base_text)
{
    if (!record.is_delta) {
        return record.text;
    }
    const std::size_t size = base_text.size();
    if (record.keep_front > size || record.keep_back > size - record.keep_front) {
        return fail(error_kind::invalid, "the difference keeps more than the base text has");
    }
    std::string text(base_text.substr(0, record.keep_front));
    text += record.text;
    text += base_text.substr(size - record.keep_back);
    if (fast_hash(text) != record.text_hash) {
        return fail(error_kind::invalid, "the difference doesn't fit the base text");
    }
    return text;
}

std::string_view record_kind(const record_body& body)
{
    return kinds[body.index()];
}

std::string encode_record(const record_body& body)
{
    if (const auto* unknown = std::get_if<unknown_record>(&body)) {
        return unknown->bytes;
    }
    nlohmann::json object = std::visit([](const auto& record) { return body_json(record); }, body);
    object["kind"] = record_kind(body);
    object["version"] = encoding_version;
    return object.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

result<record_body> decode_record(std::string_view bytes)
{
    try {
        const nlohmann::json object = nlohmann::json::parse(bytes);
        return decode_kind(object.at("kind").get<std::string>(), object, bytes);
    } catch (const nlohmann::json::exception& fault) {
        return fail(error_kind::invalid, fault.what());
    }
}

} // namespace currantspar::agreement
