#include "currantspar/base/wire_text.hpp"

#include <boost/test/unit_test.hpp>

namespace currantspar {

BOOST_AUTO_TEST_SUITE(wire_text_tests)

/// Guards against a handle that ends the head it is written into: its rest ran as a request that nobody had
/// sent (review/7).
BOOST_AUTO_TEST_CASE(a_handle_that_a_head_or_a_path_cannot_carry_is_refused)
{
    const std::string unsound[] = {"",
                                   "a\r\nX: y",
                                   "a\nb",
                                   "a\rb",
                                   std::string("a\0b", 3),
                                   "a\tb",
                                   "a\x1b[2J",
                                   "a\x7f",
                                   "a\xc2\x85"
                                   "b",
                                   " a",
                                   "a ",
                                   ".",
                                   "..",
                                   std::string(kv_handle_rule::max_bytes + 1, 'a')};
    for (const std::string& text : unsound) {
        const auto handle = kv_handle::parse(text);
        BOOST_REQUIRE(!handle.has_value());
        BOOST_TEST((handle.error().kind == error_kind::invalid));
        BOOST_TEST(is_printable(handle.error().message), handle.error().message);
        BOOST_TEST(handle.error().message.size() < 256U);
    }
}

/// Guards against opaque handles that are refused because of their form.
BOOST_AUTO_TEST_CASE(sound_handles_of_any_form_are_kept)
{
    for (const std::string& text :
         {std::string("3fa09c41b7d5"), std::string("a/b?c=d#e%2F"), std::string("q+/Zz=="),
          std::string("a b"), std::string("\"quoted\\\""), std::string("gr\xc3\xbc\xc3\x9f"),
          std::string("..."), std::string(kv_handle_rule::max_bytes, 'a')}) {
        const auto handle = kv_handle::parse(text);
        BOOST_REQUIRE(handle.has_value());
        BOOST_TEST(handle->str() == text);
        BOOST_TEST(is_field_value(text));
        BOOST_TEST(is_request_target("/" + to_path_segment(text)));
    }
}

BOOST_AUTO_TEST_CASE(a_path_segment_is_never_two)
{
    BOOST_TEST(to_path_segment("3fa09c41b7d5") == "3fa09c41b7d5");
    BOOST_TEST(to_path_segment("a-b.c_d~e!f=g:h@i") == "a-b.c_d~e!f=g:h@i");
    BOOST_TEST(to_path_segment("../order?x#y%z q") == "..%2Forder%3Fx%23y%25z%20q");
    BOOST_TEST(to_query_value("a&b=c") == "a%26b%3Dc");
}

BOOST_AUTO_TEST_CASE(addresses_are_an_ip_number_and_a_port)
{
    for (const char* text : {"10.0.0.1:80", "255.255.255.255:65535", "127.0.0.1:1"}) {
        BOOST_TEST(server_address::parse(text).has_value(), text);
    }
    // The functions of the C library stop reading at a NUL.
    for (const std::string& text :
         {std::string("10.0.0.1"), std::string("10.0.0.1:"), std::string("10.0.0.1:65536"),
          std::string("10.0.0.1:0"), std::string("host:80"), std::string("10.0.0.1:80/x"),
          std::string("10.0.0.1 :80"), std::string("10.0.0\0.1:8", 11), std::string("1.2.3.4\0\r\n:80", 12),
          std::string("")}) {
        BOOST_TEST(!server_address::parse(text).has_value(), escaped_excerpt(text));
    }
}

/// Guards against names that JSON can't hold: writing one ended the process.
BOOST_AUTO_TEST_CASE(names_are_printable_utf8)
{
    BOOST_TEST(is_sound_name("Abay Gasket"));
    BOOST_TEST(is_sound_name("caf\xc3\xa9"));
    BOOST_TEST(!is_sound_name("a\xff"));
    BOOST_TEST(!is_sound_name("a\r\nX: y"));
    BOOST_TEST(!is_sound_name(""));
    BOOST_TEST(!is_sound_name(std::string(max_name_bytes + 1, 'a')));
}

BOOST_AUTO_TEST_CASE(an_excerpt_is_escaped_and_cut)
{
    BOOST_TEST(escaped_excerpt("plain") == "\"plain\"");
    BOOST_TEST(escaped_excerpt("a\r\n\x1b\x7f\xc2\x85\"") == R"("a\r\n\u001b\u007f\u0085\"")");
    BOOST_TEST(escaped_excerpt("\xff").find('\xff') == std::string::npos);
    BOOST_TEST(escaped_excerpt(std::string(1000, 'x'), 3) == "\"xxx\"... (1000 bytes)");
}

BOOST_AUTO_TEST_CASE(the_parts_of_a_message_have_their_characters)
{
    BOOST_TEST(is_http_token("X-Part_1"));
    for (const char* text : {"", "A B", "A:", "A\r", "Transfer-Encoding ", "\xc3\xbc"}) {
        BOOST_TEST(!is_http_token(text), text);
    }
    BOOST_TEST(is_field_value("a\tb \xc3\xbc"));
    BOOST_TEST(!is_field_value("a\rb"));
    BOOST_TEST(!is_field_value(std::string("a\0", 2)));
    BOOST_TEST(is_request_target("/a?b=%20\xc3\xbc"));
    BOOST_TEST(!is_request_target("/a b"));
    BOOST_TEST(!is_request_target(""));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace currantspar
