// Lexical rules of the ClickHouse SQL dialect, following its public documentation. Only the opening tag of a heredoc is
// matched here; class Tokens finds the closing tag, which must be equal to the opening tag.
lexer grammar SqlLexer;

WHITESPACE : [ \t\r\n\f\u000B\u00A0]+ -> skip ;
LINE_COMMENT : ('--' | '#!' | '# ') ~[\r\n]* -> skip ;
BLOCK_COMMENT : '/*' .*? '*/' ;
UNCLOSED_COMMENT : '/*' ;

STRING : '\'' ( '\\' . | '\'\'' | ~['\\] )* '\'' ;
HEREDOC : '$' [A-Za-z_0-9]* '$' ;
BACKTICK_NAME : '`' ( '\\' . | '``' | ~[`\\] )* '`' ;
QUOTED_NAME : '"' ( '\\' . | '""' | ~["\\] )* '"' ;

NUMBER
    : '0' [xX] [0-9a-fA-F_]+ ( '.' [0-9a-fA-F]* )? ( [pP] [+-]? [0-9]+ )?
    | '0' [bB] [01_]+
    | DIGITS ( '.' DIGITS? )? EXPONENT?
    | '.' DIGITS EXPONENT?
    ;
fragment DIGITS : [0-9] [0-9_]* ;
fragment EXPONENT : [eE] [+-]? [0-9]+ ;

WORD : [A-Za-z_\u00AA-\u1FFF\u2C00-\uFEFE\uFF10-\uFFDC] [A-Za-z_0-9$\u00AA-\u1FFF\u2C00-\uFEFE\uFF10-\uFFDC]* ;

OPEN_PAREN : '(' ;
CLOSE_PAREN : ')' ;
OPEN_BRACKET : '[' ;
CLOSE_BRACKET : ']' ;
OPEN_BRACE : '{' ;
CLOSE_BRACE : '}' ;
COMMA : ',' ;
SEMICOLON : ';' ;
DOUBLE_COLON : '::' ;
COLON : ':' ;
QUESTION_PLUS : '?+' ;
QUESTION : '?' ;
ARROW : '->' ;
DOT : '.' ;
STAR : '*' ;
PLUS : '+' ;
MINUS : '-' ;
OPERATOR : '/' | '%' | '==' | '=' | '!=' | '<>' | '<=>' | '<=' | '>=' | '<' | '>' | '||' | '^' ;
UNEXPECTED : . ;
