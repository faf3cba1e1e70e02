#include "state/session_token.h"

#include <algorithm>
#include <sstream>
#include <vector>

#include <Poco/Base64Decoder.h>
#include <Poco/Base64Encoder.h>
#include <Poco/HMACEngine.h>
#include <Poco/SHA2Engine.h>

#include "state/record.h"

namespace tanagerspan
{
namespace
{

constexpr std::string_view version_prefix = "t1.";
constexpr std::size_t signature_bytes = 16;

// Poco::HMACEngine takes the block size from its engine type, and
// Poco::SHA2Engine does not declare it.
class sha256_engine : public Poco::SHA2Engine
{
public:
    static constexpr int BLOCK_SIZE = 64;  // NOLINT: name required by Poco
    static constexpr int DIGEST_SIZE = 32; // NOLINT: name required by Poco
};

std::string sign(std::string_view payload, std::string_view key)
{
    Poco::HMACEngine<sha256_engine> hmac{std::string(key)};
    hmac.update(payload.data(), static_cast<unsigned>(payload.size()));
    const auto& digest = hmac.digest();
    return {digest.begin(), digest.begin() + signature_bytes};
}

std::string to_base64(const std::string& bytes)
{
    std::ostringstream out;
    Poco::Base64Encoder encoder(out, Poco::BASE64_URL_ENCODING |
                                         Poco::BASE64_NO_PADDING);
    encoder.rdbuf()->setLineLength(0);
    encoder << bytes;
    encoder.close();
    return out.str();
}

bool is_base64_url(std::string_view text)
{
    return std::all_of(text.begin(), text.end(),
                       [](unsigned char c)
                       {
                           return (c >= 'a' && c <= 'z') ||
                                  (c >= 'A' && c <= 'Z') ||
                                  (c >= '0' && c <= '9') || c == '-' ||
                                  c == '_';
                       });
}

std::string from_base64(std::string_view text)
{
    std::istringstream in{std::string(text)};
    Poco::Base64Decoder decoder(in, Poco::BASE64_URL_ENCODING |
                                        Poco::BASE64_NO_PADDING);
    return {std::istreambuf_iterator<char>(decoder), {}};
}

} // namespace

void session_token::observe(std::string_view service, log_position position)
{
    auto at = positions_.find(service);
    if (at == positions_.end())
        positions_.emplace(service, position);
    else
        at->second = std::max(at->second, position);
}

log_position session_token::position_at(std::string_view service) const
{
    auto at = positions_.find(service);
    return at == positions_.end() ? log_position{} : at->second;
}

std::string session_token::to_text(std::string_view key) const
{
    nlohmann::json body = nlohmann::json::array();
    for (const auto& [service, position] : positions_)
        body.push_back({service, position.term_, position.index_});
    auto packed = nlohmann::json::to_msgpack(body);
    std::string payload(packed.begin(), packed.end());
    return std::string(version_prefix) +
           to_base64(sign(payload, key) + payload);
}

result<session_token> session_token::from_text(std::string_view text,
                                               std::string_view key)
{
    if (text.empty())
        return session_token{};
    if (text.size() > max_text_bytes)
        return fail(error_code::too_large, "token: over 8192 bytes");
    if (!text.starts_with(version_prefix))
        return fail(error_code::bad_version, "token: unsupported version");
    text.remove_prefix(version_prefix.size());
    if (!is_base64_url(text))
        return fail(error_code::malformed, "token: not base64url");
    std::string bytes = from_base64(text);
    if (bytes.size() < signature_bytes || to_base64(bytes) != text)
        return fail(error_code::malformed, "token: truncated");
    std::string payload = bytes.substr(signature_bytes);
    if (sign(payload, key) != bytes.substr(0, signature_bytes))
        return fail(error_code::bad_signature,
                    "token: signature does not match");

    auto body = nlohmann::json::from_msgpack(payload, true, false);
    if (!body.is_array() || body.size() > max_services)
        return fail(error_code::malformed, "token: not a list of positions");
    session_token out;
    for (const auto& item : body)
    {
        if (!item.is_array() || item.size() != 3 || !item[0].is_string() ||
            !item[1].is_number_unsigned() || !item[2].is_number_unsigned())
            return fail(error_code::malformed, "token: malformed position");
        out.observe(item[0].get<std::string>(),
                    {.term_ = item[1].get<std::uint64_t>(),
                     .index_ = item[2].get<std::uint64_t>()});
    }
    return out;
}

} // namespace tanagerspan
