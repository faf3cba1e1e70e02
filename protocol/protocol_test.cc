// Tests of frames between proxies and of callers' messages.

#include "protocol/caller_messages.h"
#include "protocol/operator_messages.h"
#include "protocol/peer_frame.h"
#include "testing/check.h"

namespace tanagerspan
{
namespace
{

std::span<const char> payload_of(const std::string& bytes)
{
    return std::span(bytes).subspan(frame_header_bytes);
}

class protocol_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(protocol_test);
    CPPUNIT_TEST(frames_round_trip);
    CPPUNIT_TEST(truncated_frames_are_rejected);
    CPPUNIT_TEST(arbitrary_bytes_are_decoded_or_rejected);
    CPPUNIT_TEST(wrong_version_type_and_length_have_error_codes);
    CPPUNIT_TEST(invalid_statements_have_error_codes);
    CPPUNIT_TEST(every_failure_has_an_http_status);
    CPPUNIT_TEST_SUITE_END();

    static peer_frame sample(const std::string& text, std::int64_t number)
    {
        return {.type_ = frame_type::forward,
                .correlation_id_ = 77,
                .body_ = {{"text", text},
                          {"number", number},
                          {"list", {1, true, nullptr, -4}},
                          {"map", {{"k", 1.5}}}}};
    }

    void frames_round_trip()
    {
        CHECK_PROPERTY(
            "a frame round-trips",
            [](const std::string& text, std::int64_t number)
            {
                auto frame = sample(text, number);
                auto bytes = encode_frame(frame);
                auto length = decode_length(std::span(bytes).first(4));
                RC_ASSERT(length.has_value());
                RC_ASSERT(*length == bytes.size() - frame_header_bytes);
                auto back = decode_payload(payload_of(bytes));
                RC_ASSERT(back.has_value());
                RC_ASSERT(back->correlation_id_ == 77U);
                RC_ASSERT(back->body_ == frame.body_);
            });
    }

    void truncated_frames_are_rejected()
    {
        auto bytes = encode_frame(sample("some text", -5));
        auto payload = payload_of(bytes);
        for (std::size_t size = 0; size < payload.size(); ++size)
            CPPUNIT_ASSERT(!decode_payload(payload.first(size)));
        auto longer = bytes + "x";
        CPPUNIT_ASSERT(!decode_payload(payload_of(longer)));
    }

    void arbitrary_bytes_are_decoded_or_rejected()
    {
        CHECK_PROPERTY("arbitrary bytes are decoded or rejected",
                       [](const std::string& bytes)
                       {
                           static_cast<void>(decode_payload(bytes));
                           static_cast<void>(decode_length(bytes));
                       });
        CHECK_PROPERTY("a frame with one changed byte is decoded or rejected",
                       [](unsigned at, char to)
                       {
                           auto bytes = encode_frame(sample("text", 1));
                           bytes[4 + at % (bytes.size() - 4)] = to;
                           static_cast<void>(decode_payload(payload_of(bytes)));
                       });
    }

    void wrong_version_type_and_length_have_error_codes()
    {
        auto bytes = encode_frame(sample("", 0));
        auto changed = bytes;
        changed[5] = 2; // the version; byte 4 is the array header
        CPPUNIT_ASSERT(decode_payload(payload_of(changed)).error().code_ ==
                       error_code::bad_version);
        changed = bytes;
        changed[6] = static_cast<char>(last_frame_type + 1);
        CPPUNIT_ASSERT(decode_payload(payload_of(changed)).error().code_ ==
                       error_code::malformed);
        const std::string huge("\x7f\xff\xff\xff", 4);
        CPPUNIT_ASSERT(decode_length(huge).error().code_ ==
                       error_code::too_large);
        const std::string zero_length(4, '\0');
        CPPUNIT_ASSERT(decode_length(zero_length).error().code_ ==
                       error_code::malformed);
    }

    void invalid_statements_have_error_codes()
    {
        auto code = [](std::string_view text)
        {
            return decode_text<statement_request>(text).error().code_;
        };
        CPPUNIT_ASSERT(code("") == error_code::malformed);
        CPPUNIT_ASSERT(code(R"({"service":"a"})") == error_code::malformed);
        CPPUNIT_ASSERT(code(R"({"service":7,"operations":[]})") ==
                       error_code::malformed);
        CPPUNIT_ASSERT(code(R"({"service":"a","operations":[],"x":1})") ==
                       error_code::unknown_key);
        CPPUNIT_ASSERT(
            code(R"({"service":"a","operations":[],"deadline_ms":-2})") ==
            error_code::out_of_range);
        CPPUNIT_ASSERT(
            code(R"({"service":"a","operations":[{"op":"get","key":""}]})") ==
            error_code::out_of_range);
        CPPUNIT_ASSERT(
            decode_text<settings_request>(R"({"plan":{}})").error().code_ ==
            error_code::malformed);
    }

    void every_failure_has_an_http_status()
    {
        for (int i = 0; i <= static_cast<int>(error_code::unavailable); ++i)
        {
            auto code = static_cast<error_code>(i);
            int not_run_status = http_status_of(code, outcome::not_run);
            CPPUNIT_ASSERT(not_run_status >= 400 && not_run_status < 600);
            CPPUNIT_ASSERT_EQUAL(504, http_status_of(code, outcome::unknown));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(protocol_test);

} // namespace
} // namespace tanagerspan
