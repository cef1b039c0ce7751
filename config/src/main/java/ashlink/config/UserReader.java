package ashlink.config;

import ashlink.config.RouterConfig.UserSpec;
import ashlink.decisions.api.Tenant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads tenants and users: {@code (tenant NAME ...)} and {@code (user NAME ...)}. */
final class UserReader {

    private static final double MAX_QUOTA_PER_S = 1e9;

    private UserReader() {}

    static List<Tenant> tenants(Section top) {
        List<Tenant> tenants = new ArrayList<>();
        top.namedSections("tenant").forEach((name, section) -> tenants.add(tenant(name, section)));
        return tenants;
    }

    private static Tenant tenant(String name, Section tenant) {
        try (Section section = tenant) {
            return new Tenant(name, section.ratePerS("quota", 0.0, MAX_QUOTA_PER_S));
        }
    }

    static Map<String, UserSpec> users(Section top, List<Tenant> tenants) {
        List<String> tenantNames = tenants.stream().map(Tenant::name).toList();
        Map<String, UserSpec> users = new LinkedHashMap<>();
        top.namedSections("user")
                .forEach((name, section) -> users.put(name, user(name, section, tenantNames)));
        return users;
    }

    private static UserSpec user(String name, Section user, List<String> tenantNames) {
        try (Section section = user) {
            String passwordHash = section.text("password-hash", "");
            String tenant = section.text("tenant", "");
            section.checkOneOf("tenant", tenant, tenantNames);
            if (!passwordHash.isEmpty() && !Passwords.isHash(passwordHash)) {
                section.reject(
                        "password-hash", "a bcrypt hash as printed by ./ashlink hash-password");
            }
            return new UserSpec(name, passwordHash, tenant);
        }
    }
}
