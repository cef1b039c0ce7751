// Syntax of settings files: words, quoted strings and lists in parentheses. A semicolon starts a
// comment that extends to the end of the line.
grammar SExpr;

file : form* EOF ;

form : OPEN form* CLOSE | STRING | WORD ;

OPEN : '(' ;
CLOSE : ')' ;
STRING : '"' ( '\\' . | ~["\\] )* '"' ;
WORD : ~[ \t\r\n()";]+ ;
COMMENT : ';' ~[\r\n]* -> skip ;
WHITESPACE : [ \t\r\n]+ -> skip ;
