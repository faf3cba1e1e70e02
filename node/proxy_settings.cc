#include "node/proxy_settings.h"

#include <fstream>
#include <iterator>

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>

namespace tanagerspan
{
namespace
{

// Host names are not accepted, so that no name has to be resolved.
bool is_ip_and_port(const std::string& text)
{
    auto colon = text.rfind(':');
    if (colon == std::string::npos)
        return false;
    Poco::Net::IPAddress ip;
    bool digits =
        text.find_first_not_of("0123456789", colon + 1) == std::string::npos;
    constexpr std::size_t longest_port = 5;
    constexpr int highest_port = 65535;
    auto length = text.size() - colon - 1;
    std::string number = text.substr(0, colon);
    if (number.starts_with('[') && number.ends_with(']'))
        number = number.substr(1, number.size() - 2);
    return Poco::Net::IPAddress::tryParse(number, ip) && digits &&
           length >= 1 && length <= longest_port &&
           std::stoi(text.substr(colon + 1)) <= highest_port;
}

} // namespace

result<proxy_settings> parse_proxy_settings(std::string_view text)
{
    constexpr bool comments = true;
    auto settings = decode_text<proxy_settings>(text, comments);
    if (!settings)
        return settings;
    const auto& level = settings->log_level_;
    if (level != "debug" && level != "info" && level != "warning" &&
        level != "error")
        return fail(error_code::out_of_range,
                    ".log_level: found \"" + level +
                        "\", allowed: debug, info, warning or error");
    for (auto member :
         {&proxy_settings::callers_address_, &proxy_settings::peers_address_,
          &proxy_settings::platform_address_})
    {
        if (!is_ip_and_port((*settings).*member))
            return fail(error_code::out_of_range, "found \"" +
                                                      (*settings).*member +
                                                      "\", allowed: IP:PORT");
    }
    return settings;
}

result<proxy_settings> load_proxy_settings(const std::string& path)
{
    std::ifstream in(path);
    if (!in)
        return fail(error_code::not_found, "cannot read " + path);
    std::string text{std::istreambuf_iterator<char>(in), {}};
    return parse_proxy_settings(text);
}

} // namespace tanagerspan
