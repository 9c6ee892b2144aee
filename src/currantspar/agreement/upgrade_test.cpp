#include <fstream>

#include <boost/test/unit_test.hpp>

#include "currantspar/agreement/agreed_state.hpp"

namespace currantspar::agreement {

namespace {

std::vector<std::string> golden_lines()
{
    std::ifstream file(CURRANTSPAR_SOURCE_DIR "/tests/golden/records_of_other_versions.jsonl");
    std::vector<std::string> lines;
    for (std::string line; std::getline(file, line);) {
        lines.push_back(line);
    }
    return lines;
}

} // namespace

// The golden records come from other versions: older ones lack fields, newer ones have additional fields. The
// file must stay as it was written.
BOOST_AUTO_TEST_SUITE(upgrade)

BOOST_AUTO_TEST_CASE(records_of_other_versions_are_read)
{
    agreed_state state;
    const auto lines = golden_lines();
    BOOST_REQUIRE(lines.size() == 8U);
    for (std::size_t i = 0; i + 1 < lines.size(); ++i) {
        const auto body = decode_record(lines[i]);
        BOOST_REQUIRE_MESSAGE(body, lines[i]);
        apply_record(state, {log_offset(i + 1), *body});
    }
    BOOST_TEST(state.current.value() == 2U);
    BOOST_REQUIRE(state.history.size() == 2U);
    BOOST_TEST(state.history[1].author == "new");
    const authority_entry& authority = state.authority.at({service_id("s"), data_centre_id("a")});
    BOOST_TEST(authority.held.value() == 4U);
    BOOST_TEST(authority.holder.str() == "10.0.0.1:1");
    BOOST_TEST(state.orders.empty());
    BOOST_CHECK(state.engine_goals.at(engine_id("e1")).role == config::engine_role::decode);
}

BOOST_AUTO_TEST_CASE(an_unknown_kind_keeps_its_bytes_and_has_no_effect)
{
    const std::string bytes = golden_lines().at(2);
    const auto body = decode_record(bytes);
    BOOST_REQUIRE(body);
    const auto* unknown = std::get_if<unknown_record>(&*body);
    BOOST_REQUIRE(unknown != nullptr);
    BOOST_TEST(unknown->kind == "forecast");
    BOOST_TEST(encode_record(*body) == bytes);
}

BOOST_AUTO_TEST_CASE(a_document_of_a_newer_schema_has_no_effect)
{
    agreed_state state;
    const auto lines = golden_lines();
    for (std::size_t i = 0; i < lines.size(); ++i) {
        apply_record(state, {log_offset(i + 1), *decode_record(lines[i])});
    }
    BOOST_TEST(state.current.value() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace currantspar::agreement
